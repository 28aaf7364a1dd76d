"""Capacity planning, from the command line.

    python -m hallproxy.lab.capacity run --out docs/capacity/results.jsonl
    python -m hallproxy.lab.capacity render

Measure figures for the page while nothing else runs on the machine; `load` of each line shows the load.
"""

import signal
import sys
from pathlib import Path
from types import FrameType

import click

from hallproxy.lab.capacity import page, plots, results, runner
from hallproxy.lab.capacity.catalogue import catalogue
from hallproxy.lab.capacity.registry import Measurement
from hallproxy.lab.capacity.rows import Slopes

RESULTS = results.ROOT / "docs/capacity/results.jsonl"
PAGE = results.ROOT / "docs/CAPACITY.md"

FILE = click.Path(path_type=Path, dir_okay=False)


@click.group(help="Measure, fit and render what each role costs at the operators' size.")
def main() -> None:
    pass


def _select(names: tuple[str, ...]) -> list[Measurement]:
    known = catalogue()
    unknown = [name for name in names if name not in known]
    if unknown:
        raise click.UsageError(f"unknown measurement: {', '.join(unknown)}; `list` shows all")
    return [known[name] for name in names] if names else list(known.values())


@main.command("list", help="List all measurements, their sizes, and their time limits.")
def names() -> None:
    for one in catalogue().values():
        sizes = ", ".join(f"{size:g}" for size in one.sizes)
        max_minutes = one.minutes * len(one.sizes)
        click.echo(f"{one.name}: {one.title}; by {one.x} {sizes}; {max_minutes:g} min at most")


@main.command(help="Measure NAMES, or everything, one size at a time, and append a JSON line for each.")
@click.argument("names", nargs=-1)
@click.option("--tiny", is_flag=True, help="Use small sizes that only show that it works.")
@click.option("--repeats", type=click.IntRange(1), default=3, show_default=True)
@click.option(
    "--seed",
    type=int,
    default=1,
    show_default=True,
    help="Seed of the first repeat; each further one adds 1.",
)
@click.option("--out", type=FILE, required=True, help="The file to append lines to.")
def run(names: tuple[str, ...], tiny: bool, repeats: int, seed: int, out: Path) -> None:
    chosen = _select(names)
    if tiny and out.resolve() == RESULTS:
        raise click.UsageError(f"{out} takes no results of tiny runs")
    failed = runner.run(chosen, runner.Plan(repeats, seed, tiny), out, click.echo)
    for result in failed:
        click.echo(f"failed: {result.measurement} at {result.x:g}: {result.failed}", err=True)
    if failed:
        sys.exit(1)


def _read(file: Path, tiny: bool) -> Slopes:
    try:
        return page.slopes(results.read(file, tiny))
    except results.ResultsError as error:
        raise click.ClickException(str(error)) from None


@main.command(help="Print the table of slopes of a results file, including tiny runs.")
@click.argument("file", type=FILE)
def fit(file: Path) -> None:
    for line in page.slopes_table(_read(file, tiny=True)):
        click.echo(line)


def _file_options(command: click.decorators.FC) -> click.decorators.FC:
    for option in (
        click.option("--tiny", is_flag=True, help="Accept lines of tiny runs."),
        click.option("--plots", "directory", type=click.Path(path_type=Path, file_okay=False),
                     default=RESULTS.parent, help="Directory of the plots; docs/capacity."),
        click.option("--page", "path", type=FILE, default=PAGE, help="docs/CAPACITY.md"),
        click.option("--results", "file", type=FILE, default=RESULTS, help="docs/capacity/results.jsonl"),
    ):  # fmt: skip
        command = option(command)
    return command


@main.command(help="Regenerate the page's generated blocks and its plots from the results.")
@_file_options
def render(file: Path, path: Path, directory: Path, tiny: bool) -> None:
    slopes = _read(file, tiny)
    try:
        text = page.render(path.read_text("utf-8"), slopes)
    except page.PageError as error:
        raise click.ClickException(f"{path}: {error}") from None
    path.write_text(text, "utf-8")
    for name in plots.render(directory, slopes):
        click.echo(f"drawn: {name}")


@main.command(
    help="Report where the page or a plot differs from what the results give; exit with 1 if any does."
)
@_file_options
def check(file: Path, path: Path, directory: Path, tiny: bool) -> None:
    slopes = _read(file, tiny)
    try:
        problems = page.differences(path.read_text("utf-8"), slopes) + plots.differences(directory, slopes)
    except page.PageError as error:
        problems = [str(error)]
    for line in problems:
        click.echo(line, err=True)
    if problems:
        sys.exit(1)


def _stop(signum: int, frame: FrameType | None) -> None:
    """Raise SystemExit, so that the size being measured is killed while the stack unwinds."""
    sys.exit(128 + signum)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, _stop)
    main(prog_name="python -m hallproxy.lab.capacity")
