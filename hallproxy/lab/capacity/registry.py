"""The definition of a measurement, and the register of all measurements.

A measurement is a function of one size (`x`): it builds its subject at that size, checks its own counts,
bytes and bounds, and returns a value for each of its quantities. `fits` fits a line through the sizes.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

MIN_SIZES = 4
"""With fewer sizes, a curve can't be told from a line."""


class MeasurementError(Exception):
    """A measurement's own check of a count, a size in bytes or a bound failed; the message says which."""


@dataclass(frozen=True)
class Quantity:
    """One value of a measurement. Unless `fitted`, it is shown by size, without a fitted line."""

    name: str
    unit: str
    fitted: bool = True


@dataclass
class Run:
    """What a measurement gets besides its size. `scratch_dir` is removed after the measurement."""

    seed: int
    tiny: bool
    random: random.Random
    scratch_dir: Path


Measured = dict[str, float | None]
"""Values by the quantity's name; None if it was not measured at this size."""

Body = Callable[[float, Run], Measured]


@dataclass(frozen=True)
class Measurement:
    """`x` names what the sizes count. A size that takes over `minutes` is killed and recorded as failed."""

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
                raise ValueError(f"{self.name}: at least {MIN_SIZES} different sizes over 0 are required")
        names = [quantity.name for quantity in self.quantities]
        if not names or len(set(names)) < len(names):
            raise ValueError(f"{self.name}: at least one quantity, each with a unique name, is required")

    def quantity(self, name: str) -> Quantity:
        """Raises KeyError if there is no quantity of this name."""
        for quantity in self.quantities:
            if quantity.name == name:
                return quantity
        raise KeyError(f"{self.name} has no quantity {name}")


register: dict[str, Measurement] = {}


def measurement(
    *, name: str, role: str, title: str, x: str, x_unit: str = "", sizes: tuple[float, ...],
    tiny: tuple[float, ...], quantities: tuple[Quantity, ...], minutes: float = 2.0,
) -> Callable[[Body], Body]:  # fmt: skip
    """Add the decorated function to `register` and return it unchanged.

    Raises ValueError if the name is taken or there are fewer than four sizes.
    """

    def decorate(body: Body) -> Body:
        if name in register:
            raise ValueError(f"two measurements are named {name}")
        register[name] = Measurement(name, role, title, x, x_unit, sizes, tiny, quantities, minutes, body)
        return body

    return decorate
