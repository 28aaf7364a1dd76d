"""A plot for each measurement with results; a digest in its file identifies the figures that it shows."""

import contextlib
import hashlib
import json
import math
from pathlib import Path

from PIL import Image

from hallproxy.lab.capacity.fits import FitError, fit, points
from hallproxy.lab.capacity.registry import Measurement
from hallproxy.lab.capacity.rows import Slopes

DIGEST_KEY = "Capacity-Digest"
"""The PNG text field with the digest."""
DRAWING_VERSION = 1
"""Incremented when the drawing changes, so that existing plots are drawn again."""
COLUMNS = 3  # quantities side by side


def file_name(measurement: str) -> str:
    return f"{measurement.replace('.', '-')}.png"


def has_points(slopes: Slopes, measurement: Measurement) -> bool:
    """Whether there is anything to draw."""
    return any(points(slopes.results[measurement.name], quantity.name) for quantity in measurement.quantities)


def digest(slopes: Slopes, measurement: Measurement) -> str:
    """Digest of all that the plot shows: titles, units, points."""
    shown = [
        [quantity.name, quantity.unit, quantity.fitted,
         [[p.x, p.y, p.low, p.high] for p in points(slopes.results[measurement.name], quantity.name)]]
        for quantity in measurement.quantities
    ]  # fmt: skip
    text = json.dumps([DRAWING_VERSION, measurement.name, measurement.x, measurement.x_unit, shown])
    return hashlib.sha256(text.encode()).hexdigest()


def stored_digest(path: Path) -> str:
    """The digest in a file; empty if it has none or is not a PNG."""
    try:
        with Image.open(path) as image:
            return str(image.info.get(DIGEST_KEY, ""))
    except OSError:
        return ""


def render(directory: Path, slopes: Slopes) -> list[str]:
    """Draws missing and outdated plots and deletes those without results; the names of the drawn ones."""
    directory.mkdir(parents=True, exist_ok=True)
    wanted = {
        file_name(measurement.name): measurement
        for measurement in slopes.measurements.values()
        if has_points(slopes, measurement)
    }
    redrawn = []
    for file, measurement in wanted.items():
        if stored_digest(directory / file) != digest(slopes, measurement):
            _draw(directory / file, slopes, measurement)
            redrawn.append(file)
    for path in directory.glob("*.png"):
        if path.name not in wanted:
            path.unlink()
    return redrawn


def differences(directory: Path, slopes: Slopes) -> list[str]:
    """Plots that are missing, of other figures, or without results."""
    wanted = {
        file_name(measurement.name): digest(slopes, measurement)
        for measurement in slopes.measurements.values()
        if has_points(slopes, measurement)
    }
    differing = []
    for file, expected in wanted.items():
        if not (directory / file).exists():
            differing.append(f"{file}: not drawn")
        elif stored_digest(directory / file) != expected:
            differing.append(f"{file}: drawn from other figures")
    return differing + [
        f"{path.name}: of no results" for path in sorted(directory.glob("*.png")) if path.name not in wanted
    ]


def _draw(path: Path, slopes: Slopes, measurement: Measurement) -> None:
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    shown = [
        quantity
        for quantity in measurement.quantities
        if points(slopes.results[measurement.name], quantity.name)
    ]
    rows = math.ceil(len(shown) / COLUMNS)
    figure, axes = pyplot.subplots(rows, COLUMNS, figsize=(4 * COLUMNS, 2.7 * rows), squeeze=False)
    for axis in axes.flat[len(shown) :]:
        axis.remove()
    for axis, quantity in zip(axes.flat, shown, strict=False):
        samples = points(slopes.results[measurement.name], quantity.name)
        xs, ys = [p.x for p in samples], [p.y for p in samples]
        errors = [[p.y - p.low for p in samples], [p.high - p.y for p in samples]]
        axis.errorbar(xs, ys, yerr=errors, fmt="o", markersize=4, capsize=3)
        if quantity.fitted:
            with contextlib.suppress(FitError):
                line_fit = fit(samples)
                axis.plot([xs[0], xs[-1]], [line_fit.at(xs[0]), line_fit.at(xs[-1])], linewidth=1)
                axis.set_title(line_fit.shape, fontsize=8)
        axis.set_xlabel(f"{measurement.x} {measurement.x_unit}".strip(), fontsize=8)
        axis.set_ylabel(f"{quantity.name} ({quantity.unit})" if quantity.unit else quantity.name, fontsize=8)
        axis.tick_params(labelsize=7)
        axis.set_xlim(left=0)
        lowest, highest = min(p.low for p in samples), max(p.high for p in samples)
        axis.set_ylim(min(0.0, 1.1 * lowest), max(0.0, 1.1 * highest) or 1.0)
    figure.suptitle(measurement.name, fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=100, metadata={DIGEST_KEY: digest(slopes, measurement), "Software": None})
    pyplot.close(figure)
