"""What a measurement is, and the register of all of them.

A measurement is a function of one size (`x`): it builds the thing at that size, asserts its own counts, bytes
and bounds, and gives a figure for each of its quantities. The line through its sizes is laid in `fits`.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

MIN_SIZES = 4
"""Fewer sizes than this tell no curve from a line."""


class MeasurementError(Exception):
    """A measurement's own count, byte or bound did not hold; the message says which."""


@dataclass(frozen=True)
class Quantity:
    """One figure of a measurement. Where not `fitted`, it is shown by size and no line is laid through it."""

    name: str
    unit: str
    fitted: bool = True


@dataclass
class Run:
    """What a measurement is given beside its size: `scratch_dir` is removed after the measurement."""

    seed: int
    tiny: bool
    random: random.Random
    scratch_dir: Path


Measured = dict[str, float | None]
"""By quantity's name; None where it was not measured at this size."""

Body = Callable[[float, Run], Measured]


@dataclass(frozen=True)
class Measurement:
    """`x` names what the sizes count; one size may take `minutes`; past that it is ended and failed."""

    name: str
    role: str
    title: str
    x: str
    x_unit: str
    sizes: tuple[float, ...]
    tiny: tuple[float, ...]
    quantities: tuple[Quantity, ...]
    minutes: float
    body: Body

    def __post_init__(self) -> None:
        for sizes in (self.sizes, self.tiny):
            if len({size for size in sizes if size > 0}) < MIN_SIZES or any(size < 0 for size in sizes):
                raise ValueError(f"{self.name}: at least {MIN_SIZES} different sizes over 0 are needed")
        names = [quantity.name for quantity in self.quantities]
        if not names or len(set(names)) < len(names):
            raise ValueError(f"{self.name}: its quantities need names of their own")

    def quantity(self, name: str) -> Quantity:
        """Raises KeyError."""
        for quantity in self.quantities:
            if quantity.name == name:
                return quantity
        raise KeyError(f"{self.name} has no quantity {name}")


register: dict[str, Measurement] = {}


def measurement(
    *, name: str, role: str, title: str, x: str, x_unit: str = "", sizes: tuple[float, ...],
    tiny: tuple[float, ...], quantities: tuple[Quantity, ...], minutes: float = 2.0,
) -> Callable[[Body], Body]:  # fmt: skip
    """Puts the decorated function into `register`; the function itself stays as it is.

    Raises ValueError where the name is taken, or there are fewer than four sizes.
    """

    def enter(body: Body) -> Body:
        if name in register:
            raise ValueError(f"two measurements are named {name}")
        register[name] = Measurement(name, role, title, x, x_unit, sizes, tiny, quantities, minutes, body)
        return body

    return enter
