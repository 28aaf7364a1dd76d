"""The line through a measurement's sizes, and how far from it they lie."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

import numpy as np
from numpy.typing import NDArray

from hallproxy.lab.capacity.registry import MIN_SIZES
from hallproxy.lab.capacity.results import Result

STRAIGHT_RESIDUAL = 0.05  # relative residual up to which a line is called straight, ...
STRAIGHT_DEVIATION = 0.15  # ...if no size lies further from it than this share of its own figure
NOISE = 1e-9
"""Parts of the mean of y under which a figure is what the arithmetic itself leaves; it differs by machine."""
FLAT = 0.05  # change over all sizes, as a share of the mean, under which nothing grows
PROPORTION = 0.1  # how far a power may lie from 1 and still be called in proportion


class FitError(ValueError):
    """Too few sizes for a line; the text says how many there are."""


@dataclass(frozen=True)
class Point:
    """One size: the median over its repeats, the least and the most of them, and how many there were."""

    x: float
    y: float
    low: float
    high: float
    repeats: int


@dataclass(frozen=True)
class Fit:
    """y = `at_zero` + `slope` · x by least squares.

    `residual`: the root of its mean square over the mean of y;
    `deviation`: the largest |y - line| / |y| (infinite where a y of 0 is missed); `power`: p of y ~ x^p, None
    where a y of an x over 0 is not; `spread`: that of the points.
    """

    points: tuple[Point, ...]
    slope: float
    at_zero: float
    residual: float
    deviation: float
    power: float | None
    spread: float

    @property
    def straight(self) -> bool:
        return self.residual <= STRAIGHT_RESIDUAL and self.deviation <= STRAIGHT_DEVIATION

    @property
    def shape(self) -> str:
        """In words; what is neither straight nor flat shows by its power, if it has one."""
        first, last = self.points[0].x, self.points[-1].x
        mean = sum(abs(p.y) for p in self.points) / len(self.points)
        if self.straight:
            return "flat" if abs(self.slope) * (last - first) <= FLAT * mean else "straight"
        if self.power is None:
            return "not straight"
        if self.power > 1 + PROPORTION:
            return f"worse than in proportion, power {self.power:.2f}"
        if self.power < 1 - PROPORTION:
            return f"less than in proportion, power {self.power:.2f}"
        return f"scattered, power {self.power:.2f}"

    @property
    def largest(self) -> float:
        return self.points[-1].x

    def at(self, x: float) -> float:
        """y on the line at x."""
        return self.at_zero + self.slope * x

    def near(self, x: float) -> float:
        """y about x where a line would mislead: on the chord between two sizes, outside them by the power."""
        for left, right in zip(self.points, self.points[1:], strict=False):
            if left.x <= x <= right.x:
                return left.y + (right.y - left.y) * (x - left.x) / (right.x - left.x)
        if self.power is None:
            return self.at(x)
        edge = self.points[0] if x < self.points[0].x else self.points[-1]
        return float(edge.y * (x / edge.x) ** self.power)


def points(results: Iterable[Result], quantity: str) -> tuple[Point, ...]:
    """In order of size; sizes that failed or were not measured are left out."""
    by_size: dict[float, list[float]] = {}
    for result in results:
        value = result.values.get(quantity)
        if value is not None:
            by_size.setdefault(result.x, []).append(value)
    return tuple(Point(x, median(ys), min(ys), max(ys), len(ys)) for x, ys in sorted(by_size.items()))


def spread(of: Iterable[Point]) -> float:
    """The largest (most - least) / median of a size's repeats."""
    return max(((p.high - p.low) / abs(p.y) if p.y else 0.0 for p in of), default=0.0)


def fit(of: Sequence[Point]) -> Fit:
    """Raises FitError under four sizes."""
    if len(of) < MIN_SIZES:
        raise FitError(f"{len(of)} sizes of at least {MIN_SIZES}")
    x = np.array([p.x for p in of])
    y = np.array([p.y for p in of])
    mean = float(np.mean(np.abs(y)))
    slope, at_zero = _line(x, y)
    slope = 0.0 if abs(slope) * float(x[-1]) <= NOISE * mean else slope
    at_zero = 0.0 if abs(at_zero) <= NOISE * mean else at_zero
    off = y - (at_zero + slope * x)
    off[np.abs(off) <= NOISE * mean] = 0.0
    residual = float(np.sqrt(np.mean(off**2))) / mean if mean else 0.0
    missed = [(abs(float(o)), abs(float(v))) for o, v in zip(off, y, strict=True) if o]
    deviation = max((o / v if v else math.inf for o, v in missed), default=0.0)
    over = x > 0  # what nothing costs says nothing of a power
    power = _line(np.log(x[over]), np.log(y[over]))[0] if (y[over] > 0).all() else None
    return Fit(tuple(of), slope, at_zero, residual, deviation, power, spread(of))


def _line(x: NDArray[np.float64], y: NDArray[np.float64]) -> tuple[float, float]:
    (slope, at_zero), *_ = np.linalg.lstsq(np.column_stack([x, np.ones_like(x)]), y, rcond=None)
    return float(slope), float(at_zero)
