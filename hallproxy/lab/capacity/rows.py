"""What a row of the page is: inputs, the slopes it needs, some arithmetic, and what carries it."""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from hallproxy.lab.capacity.fits import Fit, FitError, fit, points
from hallproxy.lab.capacity.registry import Measurement
from hallproxy.lab.capacity.results import ROOT, Result, latest
from hallproxy.lab.capacity.size import Size

NOT_MEASURED = math.nan
"""Goes through all arithmetic, so that whatever needs a slope that is not there comes out as not measured."""


def num(value: float) -> str:
    """Whole numbers as they are, others to three digits; "?" for what is not measured."""
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
    """With its unit; parts of a core as a percentage, for that is how they are allowed."""
    if unit == "cores" and value <= 1:
        return "1 core" if value == 1 else f"{num(100.0 * value)}% of a core"
    return f"{num(value)} {unit}".strip()


@dataclass(frozen=True)
class Need:
    measurement: str
    quantity: str


@dataclass
class Slope:
    """What a row's arithmetic sees of a fit; it notes where a figure is weaker than a straight line."""

    need: Need
    fit: Fit | None
    lacks: str = ""
    unit: str = ""
    fitted: bool = True
    notes: list[str] = field(default_factory=list)

    def at(self, x: float) -> float:
        """On the line; where there is none to speak of, what was measured there, or else about there.

        NOT_MEASURED where there is no fit.
        """
        if self.fit is None:
            return NOT_MEASURED
        known = {point.x: point.y for point in self.fit.points}
        value, line = self.fit.at(x), self.fit.straight and self.fitted
        if line and value < 0 <= min(known.values()):
            self._note(f"{self.need.quantity}: the line would be under 0")
            line = False
        if not line:
            if x in known:
                return known[x]
            value = self.fit.near(x)
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
        """A share of a core that was measured, in cores. KeyError for a quantity that is none."""
        if self.fit is None:
            return NOT_MEASURED
        return self.at(x) * {"%": 0.01, "us/s": 1e-6}[self.unit.partition(" ")[0]]

    @property
    def each(self) -> float:
        """For each one more of what the sizes count."""
        if self.fit is None:
            return NOT_MEASURED
        if not self.fit.straight:
            self._note(f"{self.need.quantity} is no straight line: {self.fit.shape}")
        return self.fit.slope

    def _note(self, text: str) -> None:
        if text not in self.notes:
            self.notes.append(text)


class Slopes:
    """All fits that the results give. `of` never fails: what is not there says why."""

    def __init__(self, results: Sequence[Result], measurements: Mapping[str, Measurement]) -> None:
        self.measurements = measurements
        self.lines = {name: latest(results, one) if any(r.measurement == name for r in results) else []
                      for name, one in measurements.items()}  # fmt: skip

    def of(self, need: Need) -> Slope:
        one = self.measurements.get(need.measurement)
        if one is None:
            return Slope(need, None, "there is no such measurement")
        lines = self.lines[need.measurement]
        if not lines:
            return Slope(need, None, "not run")
        try:
            quantity = one.quantity(need.quantity)
            made = fit(points(lines, quantity.name))
            return Slope(need, made, unit=quantity.unit, fitted=quantity.fitted)
        except FitError as error:
            failed = {line.failed for line in lines if line.failed}
            return Slope(need, None, f"{error}" + "".join(f"; failed: {why}" for why in sorted(failed)))
        except KeyError as error:
            return Slope(need, None, str(error.args[0]))


@dataclass(frozen=True)
class Worked:
    """A result and how it came about, with its inputs, as shown."""

    value: float
    text: str


Work = Callable[..., Worked]
"""Of the size and then a Slope for each need, in their order."""


def told(value: float, text: str) -> Work:
    """Arithmetic on the operators' numbers and the program's own bounds alone."""
    return lambda size, *slopes: Worked(value, text)


@dataclass(frozen=True)
class Mechanism:
    """What carries a row, and the file or directory that it is in. Where that isn't there it is missing."""

    text: str
    where: str = ""

    @property
    def there(self) -> bool:
        return bool(self.where) and (ROOT / self.where).exists()

    def __str__(self) -> str:
        return f"{self.text} (`{self.where}`)" if self.there else f"missing: {self.text}"


@dataclass(frozen=True)
class Figure:
    """One result. `allowed`: None where nobody told a bound; with `least` the result must reach it."""

    unit: str
    work: Work
    needs: tuple[Need, ...] = ()
    allowed: float | None = None
    least: bool = False

    def worked(self, size: Size, slopes: Slopes) -> tuple[Worked, list[Slope]]:
        """The text ends with what the slopes noted about themselves."""
        used = [slopes.of(need) for need in self.needs]
        came = self.work(size, *used)
        notes = [note for slope in used for note in slope.notes]
        return (Worked(came.value, f"{came.text} ({'; '.join(notes)})") if notes else came), used

    def verdict(self, value: float) -> str:
        if math.isnan(value):
            return "not measured"
        if self.allowed is None:
            return "no bound told"
        kept = value >= self.allowed if self.least else value <= self.allowed
        return "carried" if kept else "**not carried**"

    def bound(self) -> str:
        if self.allowed is None:
            return "–"
        return ("at least " if self.least else "") + amount(self.allowed, self.unit)


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
    """The cells of a role's table."""
    came, used = row.figure.worked(size, slopes)
    verdict = row.figure.verdict(came.value) if row.mechanism.there else "**missing**"
    result = "not measured" if math.isnan(came.value) else amount(came.value, row.figure.unit)
    return [
        row.kind,
        row.quantity,
        came.text,
        sources(used),
        result,
        row.figure.bound(),
        verdict,
        str(row.mechanism),
    ]


def sources(used: Iterable[Slope]) -> str:
    """Which slopes, and what they are; without any it is arithmetic alone."""
    said = []
    for slope in used:
        name = f"{slope.need.measurement} {slope.need.quantity}"
        said.append(f"{name}: {line(slope)}")
    return "; ".join(dict.fromkeys(said)) or "arithmetic"


def line(of: Slope) -> str:
    if of.fit is None:
        return of.lacks
    if not of.fitted or not of.fit.straight:
        return "by size"
    sign = "-" if of.fit.slope < 0 else "+"
    return f"{num(of.fit.at_zero)} {sign} {num(abs(of.fit.slope))}·x {of.unit}".strip()
