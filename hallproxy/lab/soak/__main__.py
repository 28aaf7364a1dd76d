"""``python -m hallproxy.lab.soak``: runs of many seeds, each in a process of its own."""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from collections.abc import Sequence

from hallproxy.lab.soak.run import Outcome, play

MAX_BROKEN_SHOWN = 8  # lines of one seed


def main(argv: Sequence[str] | None = None) -> int:
    """Play the seeds and print a line each; 1 if any is red."""
    parser = argparse.ArgumentParser(prog="hallproxy.lab.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first one")
    parser.add_argument("--count", type=int, default=1, help="how many seeds, one after another")
    parser.add_argument("--jobs", type=int, default=1, help="runs at a time")
    parser.add_argument("--log", action="store_true", help="show the gateway's log of a red run")
    args = parser.parse_args(argv)
    seeds = range(args.seed, args.seed + args.count)
    red = 0
    with multiprocessing.get_context("spawn").Pool(args.jobs, maxtasksperchild=1) as pool:
        for outcome in pool.imap(play, seeds):
            red += bool(outcome.broken)
            print_outcome(outcome, args.log)
    print(f"{len(seeds)} runs, {red} red")
    return int(red > 0)


def print_outcome(outcome: Outcome, with_log: bool) -> None:
    """A run's line, and what was broken in it."""
    print(outcome.line(), flush=True)
    for line in outcome.broken[:MAX_BROKEN_SHOWN]:
        print(f"    {line}")
    if len(outcome.broken) > MAX_BROKEN_SHOWN:
        print(f"    and {len(outcome.broken) - MAX_BROKEN_SHOWN} more")
    if with_log and outcome.broken:
        print("\n".join(f"    | {line}" for line in outcome.log))


if __name__ == "__main__":
    sys.exit(main())
