"""Least-squares line through a measurement's sizes, and how far they deviate from it."""

import math
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from statistics import median

import numpy as np
from numpy.typing import NDArray

from hallproxy.lab.capacity.registry import MIN_SIZES
from hallproxy.lab.capacity.results import Result

STRAIGHT_RESIDUAL = 0.05  # maximum relative residual of a straight line
STRAIGHT_DEVIATION = 0.15  # maximum deviation of a size from a straight line, as a share of its own figure
NOISE = 1e-9
"""Share of the mean of y below which a figure is a rounding error, which differs between machines."""
FLAT_CHANGE = 0.05  # maximum change over all sizes of a flat line, as a share of the mean
POWER_TOLERANCE = 0.1  # maximum distance from 1 of a power that counts as in proportion


class FitError(ValueError):
    """Too few sizes for a line; the message has their number."""


@dataclass(frozen=True)
class Point:
    """One size: the median, minimum and maximum of its repeats, and their number."""

    x: float
    y: float
    low: float
    high: float
    repeats: int


@dataclass(frozen=True)
class Fit:
    """y = `intercept` + `slope` · x by least squares.

    `residual`: the root mean square of the residuals over the mean of y;
    `deviation`: the largest |y - line| / |y| (infinite where the line misses a y of 0);
    `power`: p of y ~ x^p, None unless y is positive wherever x is; `spread`: that of the points.
    """

    points: tuple[Point, ...]
    slope: float
    intercept: float
    residual: float
    deviation: float
    power: float | None
    spread: float

    @property
    def straight(self) -> bool:
        return self.residual <= STRAIGHT_RESIDUAL and self.deviation <= STRAIGHT_DEVIATION

    @property
    def shape(self) -> str:
        """In words; if neither straight nor flat, by its power, if it has one."""
        first, last = self.points[0].x, self.points[-1].x
        mean = sum(abs(p.y) for p in self.points) / len(self.points)
        if self.straight:
            return "flat" if abs(self.slope) * (last - first) <= FLAT_CHANGE * mean else "straight"
        if self.power is None:
            return "not straight"
        if self.power > 1 + POWER_TOLERANCE:
            return f"worse than in proportion, power {self.power:.2f}"
        if self.power < 1 - POWER_TOLERANCE:
            return f"less than in proportion, power {self.power:.2f}"
        return f"scattered, power {self.power:.2f}"

    @property
    def largest(self) -> float:
        return self.points[-1].x

    def at(self, x: float) -> float:
        """y on the line at x."""
        return self.intercept + self.slope * x

    def estimate(self, x: float) -> float:
        """y at x without the line: interpolated between two sizes, outside them extrapolated by the power."""
        for left, right in zip(self.points, self.points[1:], strict=False):
            if left.x <= x <= right.x:
                return left.y + (right.y - left.y) * (x - left.x) / (right.x - left.x)
        if self.power is None:
            return self.at(x)
        edge = self.points[0] if x < self.points[0].x else self.points[-1]
        return float(edge.y * (x / edge.x) ** self.power)


def points(results: Iterable[Result], quantity: str) -> tuple[Point, ...]:
    """Points in order of size; failed and unmeasured sizes are omitted."""
    by_size: dict[float, list[float]] = {}
    for result in results:
        value = result.values.get(quantity)
        if value is not None:
            by_size.setdefault(result.x, []).append(value)
    return tuple(Point(x, median(ys), min(ys), max(ys), len(ys)) for x, ys in sorted(by_size.items()))


def spread(samples: Iterable[Point]) -> float:
    """The largest (maximum - minimum) / median of a size's repeats."""
    return max(((p.high - p.low) / abs(p.y) if p.y else 0.0 for p in samples), default=0.0)


def fit(samples: Sequence[Point]) -> Fit:
    """Raises FitError for fewer than four sizes."""
    if len(samples) < MIN_SIZES:
        raise FitError(f"{len(samples)} sizes of at least {MIN_SIZES}")
    x = np.array([p.x for p in samples])
    y = np.array([p.y for p in samples])
    mean = float(np.mean(np.abs(y)))
    slope, intercept = _line(x, y)
    slope = 0.0 if abs(slope) * float(x[-1]) <= NOISE * mean else slope
    intercept = 0.0 if abs(intercept) <= NOISE * mean else intercept
    residuals = y - (intercept + slope * x)
    residuals[np.abs(residuals) <= NOISE * mean] = 0.0
    residual = float(np.sqrt(np.mean(residuals**2))) / mean if mean else 0.0
    misses = [(abs(float(r)), abs(float(v))) for r, v in zip(residuals, y, strict=True) if r]
    deviation = max((r / v if v else math.inf for r, v in misses), default=0.0)
    positive = x > 0  # the figure at size 0 says nothing about a power
    power = _line(np.log(x[positive]), np.log(y[positive]))[0] if (y[positive] > 0).all() else None
    return Fit(tuple(samples), slope, intercept, residual, deviation, power, spread(samples))


def _line(x: NDArray[np.float64], y: NDArray[np.float64]) -> tuple[float, float]:
    (slope, intercept), *_ = np.linalg.lstsq(np.column_stack([x, np.ones_like(x)]), y, rcond=None)
    return float(slope), float(intercept)
