"""One plot for each measurement that has results; its file says by a digest which figures it shows."""

import contextlib
import hashlib
import json
import math
from pathlib import Path

from PIL import Image

from hallproxy.lab.capacity.fits import FitError, fit, points
from hallproxy.lab.capacity.registry import Measurement
from hallproxy.lab.capacity.rows import Slopes

KEY = "Capacity-Digest"
"""The PNG's text that holds the digest."""
DRAWING = 1
"""Raised when plots are drawn otherwise, so that the ones there are drawn again."""
ACROSS = 3  # quantities side by side


def name(measurement: str) -> str:
    return f"{measurement.replace('.', '-')}.png"


def drawn(of: Slopes, one: Measurement) -> bool:
    """Whether there is anything to draw."""
    return any(points(of.lines[one.name], quantity.name) for quantity in one.quantities)


def digest(of: Slopes, one: Measurement) -> str:
    """Of all that the plot shows: titles, units, points."""
    shown = [
        [quantity.name, quantity.unit, quantity.fitted,
         [[p.x, p.y, p.low, p.high] for p in points(of.lines[one.name], quantity.name)]]
        for quantity in one.quantities
    ]  # fmt: skip
    text = json.dumps([DRAWING, one.name, one.x, one.x_unit, shown])
    return hashlib.sha256(text.encode()).hexdigest()


def told(path: Path) -> str:
    """The digest in a file; empty where it holds none or is no PNG."""
    try:
        with Image.open(path) as image:
            return str(image.info.get(KEY, ""))
    except OSError:
        return ""


def render(directory: Path, of: Slopes) -> list[str]:
    """Draws what is not as it should be, and takes away what has no results. Names of the drawn ones."""
    directory.mkdir(parents=True, exist_ok=True)
    wanted = {name(one.name): one for one in of.measurements.values() if drawn(of, one)}
    made = []
    for file, one in wanted.items():
        if told(directory / file) != digest(of, one):
            _draw(directory / file, of, one)
            made.append(file)
    for path in directory.glob("*.png"):
        if path.name not in wanted:
            path.unlink()
    return made


def differences(directory: Path, of: Slopes) -> list[str]:
    """Plots that are missing, of other figures, or of nothing."""
    wanted = {name(one.name): digest(of, one) for one in of.measurements.values() if drawn(of, one)}
    wrong = []
    for file, shown in wanted.items():
        if not (directory / file).exists():
            wrong.append(f"{file}: not drawn")
        elif told(directory / file) != shown:
            wrong.append(f"{file}: drawn from other figures")
    return wrong + [
        f"{path.name}: of no results" for path in sorted(directory.glob("*.png")) if path.name not in wanted
    ]


def _draw(path: Path, of: Slopes, one: Measurement) -> None:
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    shown = [quantity for quantity in one.quantities if points(of.lines[one.name], quantity.name)]
    rows = math.ceil(len(shown) / ACROSS)
    figure, axes = pyplot.subplots(rows, ACROSS, figsize=(4 * ACROSS, 2.7 * rows), squeeze=False)
    for axis in axes.flat[len(shown) :]:
        axis.remove()
    for axis, quantity in zip(axes.flat, shown, strict=False):
        of_quantity = points(of.lines[one.name], quantity.name)
        xs, ys = [p.x for p in of_quantity], [p.y for p in of_quantity]
        off = [[p.y - p.low for p in of_quantity], [p.high - p.y for p in of_quantity]]
        axis.errorbar(xs, ys, yerr=off, fmt="o", markersize=4, capsize=3)
        if quantity.fitted:
            with contextlib.suppress(FitError):
                made = fit(of_quantity)
                axis.plot([xs[0], xs[-1]], [made.at(xs[0]), made.at(xs[-1])], linewidth=1)
                axis.set_title(made.shape, fontsize=8)
        axis.set_xlabel(f"{one.x} {one.x_unit}".strip(), fontsize=8)
        axis.set_ylabel(f"{quantity.name} ({quantity.unit})" if quantity.unit else quantity.name, fontsize=8)
        axis.tick_params(labelsize=7)
        axis.set_xlim(left=0)
        lowest, highest = min(p.low for p in of_quantity), max(p.high for p in of_quantity)
        axis.set_ylim(min(0.0, 1.1 * lowest), max(0.0, 1.1 * highest) or 1.0)
    figure.suptitle(one.name, fontsize=9)
    figure.tight_layout()
    figure.savefig(path, dpi=100, metadata={KEY: digest(of, one), "Software": None})
    pyplot.close(figure)
