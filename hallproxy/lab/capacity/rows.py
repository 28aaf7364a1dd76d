"""Rows of the page: inputs, the slopes they need, the arithmetic, and the mechanism that carries the load."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from hallproxy.lab.capacity.fits import Fit, FitError, fit, points
from hallproxy.lab.capacity.registry import Measurement
from hallproxy.lab.capacity.results import ROOT, Result, latest
from hallproxy.lab.capacity.size import Size

NOT_MEASURED = math.nan
"""Propagates through all arithmetic, so that a figure that needs a missing slope is not measured either."""


def num(value: float) -> str:
    """Integers as they are, others to three significant digits; "?" if not measured."""
    if isinstance(value, int):
        return f"{value:,}"
    if math.isnan(value):
        return "?"
    if not math.isfinite(value):
        return "without bound"
    if value == 0:
        return "0"
    digits = 2 - math.floor(math.log10(abs(value)))
    shown = f"{round(value, digits):,.{max(0, digits)}f}"
    return shown.rstrip("0").rstrip(".") if "." in shown else shown


def amount(value: float, unit: str) -> str:
    """The value with its unit; shares of a core as a percentage, the form of their bounds."""
    if unit == "cores" and value <= 1:
        return "1 core" if value == 1 else f"{num(100.0 * value)}% of a core"
    return f"{num(value)} {unit}".strip()


@dataclass(frozen=True)
class Need:
    measurement: str
    quantity: str


@dataclass
class Slope:
    """A fit as used by a row's arithmetic; `notes` says where a figure is weaker than a straight line."""

    need: Need
    fit: Fit | None
    missing_reason: str = ""
    unit: str = ""
    fitted: bool = True
    notes: list[str] = field(default_factory=list)

    def at(self, x: float) -> float:
        """y on the line; if the line is not usable, the figure measured at x, or else an estimate.

        NOT_MEASURED without a fit.
        """
        if self.fit is None:
            return NOT_MEASURED
        measured = {point.x: point.y for point in self.fit.points}
        value, use_line = self.fit.at(x), self.fit.straight and self.fitted
        if use_line and value < 0 <= min(measured.values()):
            self._note(f"{self.need.quantity}: the line would be under 0")
            use_line = False
        if not use_line:
            if x in measured:
                return measured[x]
            value = self.fit.estimate(x)
            if self.fitted and not self.fit.straight:
                self._note(f"{self.need.quantity} is no straight line: {self.fit.shape}")
            elif not self.fitted and self.fit.points[0].x < x < self.fit.largest:
                self._note("between two sizes measured")
        if x > 1.01 * self.fit.largest:
            self._note(f"{num(x / self.fit.largest)} × the largest size measured")
        elif x < self.fit.points[0].x:
            self._note(f"under the smallest size measured, {num(self.fit.points[0].x)}")
        return value

    def cores(self, x: float) -> float:
        """A measured share of a core, in cores. Raises KeyError for a quantity in another unit."""
        if self.fit is None:
            return NOT_MEASURED
        return self.at(x) * {"%": 0.01, "us/s": 1e-6}[self.unit.partition(" ")[0]]

    @property
    def per_unit(self) -> float:
        """The increase for each further unit of size."""
        if self.fit is None:
            return NOT_MEASURED
        if not self.fit.straight:
            self._note(f"{self.need.quantity} is no straight line: {self.fit.shape}")
        return self.fit.slope

    def _note(self, text: str) -> None:
        if text not in self.notes:
            self.notes.append(text)


class Slopes:
    """All fits of the results. `slope` never fails: a missing one has the reason."""

    def __init__(self, results: Sequence[Result], measurements: Mapping[str, Measurement]) -> None:
        self.measurements = measurements
        self.results = {name: latest(results, one) if any(r.measurement == name for r in results) else []
                      for name, one in measurements.items()}  # fmt: skip

    def slope(self, need: Need) -> Slope:
        measurement = self.measurements.get(need.measurement)
        if measurement is None:
            return Slope(need, None, "there is no such measurement")
        lines = self.results[need.measurement]
        if not lines:
            return Slope(need, None, "not run")
        try:
            quantity = measurement.quantity(need.quantity)
            line_fit = fit(points(lines, quantity.name))
            return Slope(need, line_fit, unit=quantity.unit, fitted=quantity.fitted)
        except FitError as error:
            failed = {line.failed for line in lines if line.failed}
            return Slope(need, None, f"{error}" + "".join(f"; failed: {why}" for why in sorted(failed)))
        except KeyError as error:
            return Slope(need, None, str(error.args[0]))


@dataclass(frozen=True)
class Computed:
    """A result, and the text of its arithmetic with the inputs."""

    value: float
    text: str


Computation = Callable[..., Computed]
"""Takes the size and then a Slope for each need, in their order."""


def constant(value: float, text: str) -> Computation:
    """Arithmetic only on the operators' numbers and the program's own bounds."""
    return lambda size, *slopes: Computed(value, text)


@dataclass(frozen=True)
class Mechanism:
    """What carries a row's load, and the file or directory that implements it; missing without that path."""

    text: str
    path: str = ""

    @property
    def exists(self) -> bool:
        return bool(self.path) and (ROOT / self.path).exists()

    def __str__(self) -> str:
        return f"{self.text} (`{self.path}`)" if self.exists else f"missing: {self.text}"


@dataclass(frozen=True)
class Figure:
    """One result. `allowed`: None if the operators gave no bound; with `minimum` it is a lower bound."""

    unit: str
    computation: Computation
    needs: tuple[Need, ...] = ()
    allowed: float | None = None
    minimum: bool = False

    def compute(self, size: Size, slopes: Slopes) -> tuple[Computed, list[Slope]]:
        """The result and the slopes used; its text ends with their notes."""
        used = [slopes.slope(need) for need in self.needs]
        computed = self.computation(size, *used)
        notes = list(dict.fromkeys(note for slope in used for note in slope.notes))
        return (
            Computed(computed.value, f"{computed.text} ({'; '.join(notes)})") if notes else computed
        ), used

    def verdict(self, value: float) -> str:
        if math.isnan(value):
            return "not measured"
        if self.allowed is None:
            return "no bound told"
        within_bound = value >= self.allowed if self.minimum else value <= self.allowed
        return "carried" if within_bound else "**not carried**"

    def bound(self) -> str:
        if self.allowed is None:
            return "–"
        return ("at least " if self.minimum else "") + amount(self.allowed, self.unit)


KINDS = ("state", "messages", "processor", "memory", "time")


@dataclass(frozen=True)
class Row:
    """`kind` is one of `KINDS`; each role has rows of the first four."""

    role: str
    kind: str
    quantity: str
    figure: Figure
    mechanism: Mechanism


def row_line(row: Row, size: Size, slopes: Slopes) -> list[str]:
    """The cells of a row in its role's table."""
    computed, used = row.figure.compute(size, slopes)
    verdict = row.figure.verdict(computed.value) if row.mechanism.exists else "**missing**"
    result = "not measured" if math.isnan(computed.value) else amount(computed.value, row.figure.unit)
    return [
        row.kind,
        row.quantity,
        computed.text,
        sources(used),
        result,
        row.figure.bound(),
        verdict,
        str(row.mechanism),
    ]


def sources(used: Iterable[Slope]) -> str:
    """The slopes by name and line; "arithmetic" without any."""
    texts = []
    for slope in used:
        name = f"{slope.need.measurement} {slope.need.quantity}"
        texts.append(f"{name}: {line_text(slope)}")
    return "; ".join(dict.fromkeys(texts)) or "arithmetic"


def line_text(slope: Slope) -> str:
    if slope.fit is None:
        return slope.missing_reason
    if not slope.fitted or not slope.fit.straight:
        return "by size"
    sign = "-" if slope.fit.slope < 0 else "+"
    return f"{num(slope.fit.intercept)} {sign} {num(abs(slope.fit.slope))}·x {slope.unit}".strip()
