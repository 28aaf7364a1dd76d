"""Capacity planning, from the command line.

    python -m hallproxy.lab.capacity run --out docs/capacity/results.jsonl
    python -m hallproxy.lab.capacity render

Figures that go on the page are measured while nothing else runs on the machine; `load` in each line tells.
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


def _chosen(names: tuple[str, ...]) -> list[Measurement]:
    there = catalogue()
    unknown = [name for name in names if name not in there]
    if unknown:
        raise click.UsageError(f"there is no measurement {', '.join(unknown)}; `list` names them")
    return [there[name] for name in names] if names else list(there.values())


@main.command("list", help="Names of all measurements, their sizes, and the longest they may take.")
def names() -> None:
    for one in catalogue().values():
        sizes = ", ".join(f"{size:g}" for size in one.sizes)
        longest = one.minutes * len(one.sizes)
        click.echo(f"{one.name}: {one.title}; by {one.x} {sizes}; {longest:g} min at most")


@main.command(help="Measure NAMES, or everything, one size at a time, and append a JSON line for each.")
@click.argument("names", nargs=-1)
@click.option("--tiny", is_flag=True, help="Sizes that only show that it works.")
@click.option("--repeats", type=click.IntRange(1), default=3, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True, help="One more for each repeat.")
@click.option("--out", type=FILE, required=True, help="The file that lines are appended to.")
def run(names: tuple[str, ...], tiny: bool, repeats: int, seed: int, out: Path) -> None:
    chosen = _chosen(names)
    if tiny and out.resolve() == RESULTS:
        raise click.UsageError(f"{out} takes no tiny runs")
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


@main.command(help="Print the table of slopes of a results file, also of a tiny run.")
@click.argument("file", type=FILE)
def fit(file: Path) -> None:
    for line in page.slopes_table(_read(file, tiny=True)):
        click.echo(line)


def _where(command: click.decorators.FC) -> click.decorators.FC:
    for option in (
        click.option("--tiny", is_flag=True, help="Also take lines of tiny runs."),
        click.option("--plots", "directory", type=click.Path(path_type=Path, file_okay=False),
                     default=RESULTS.parent, help="Where the plots are; docs/capacity."),
        click.option("--page", "path", type=FILE, default=PAGE, help="docs/CAPACITY.md"),
        click.option("--results", "file", type=FILE, default=RESULTS, help="docs/capacity/results.jsonl"),
    ):  # fmt: skip
        command = option(command)
    return command


@main.command(help="Write the page's generated blocks and its plots anew from the results.")
@_where
def render(file: Path, path: Path, directory: Path, tiny: bool) -> None:
    slopes = _read(file, tiny)
    try:
        text = page.render(path.read_text("utf-8"), slopes)
    except page.PageError as error:
        raise click.ClickException(f"{path}: {error}") from None
    path.write_text(text, "utf-8")
    for name in plots.render(directory, slopes):
        click.echo(f"drawn: {name}")


@main.command(help="Tell where the page or a plot is not what the results give; status 1 if anywhere.")
@_where
def check(file: Path, path: Path, directory: Path, tiny: bool) -> None:
    slopes = _read(file, tiny)
    try:
        wrong = page.differences(path.read_text("utf-8"), slopes) + plots.differences(directory, slopes)
    except page.PageError as error:
        wrong = [str(error)]
    for line in wrong:
        click.echo(line, err=True)
    if wrong:
        sys.exit(1)


def _stop(signum: int, frame: FrameType | None) -> None:
    """As an exception, so that the size that is being measured is ended on the way out."""
    sys.exit(128 + signum)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, _stop)
    main(prog_name="python -m hallproxy.lab.capacity")
