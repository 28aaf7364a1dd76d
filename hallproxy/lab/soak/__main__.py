"""``python -m hallproxy.lab.soak``: soak runs of consecutive seeds, each in its own process."""

from __future__ import annotations

import argparse
import multiprocessing
import sys
from collections.abc import Sequence

from hallproxy.lab.soak.run import Outcome, run_seed

MAX_VIOLATIONS_SHOWN = 8  # per seed


def main(argv: Sequence[str] | None = None) -> int:
    """Run the seeds and print a line for each; return 1 if any run failed."""
    parser = argparse.ArgumentParser(prog="hallproxy.lab.soak", description=__doc__)
    parser.add_argument("--seed", type=int, default=1, help="the first seed")
    parser.add_argument("--count", type=int, default=1, help="number of consecutive seeds")
    parser.add_argument("--jobs", type=int, default=1, help="concurrent runs")
    parser.add_argument("--log", action="store_true", help="print the gateway's log of each failed run")
    args = parser.parse_args(argv)
    seeds = range(args.seed, args.seed + args.count)
    failed_runs = 0
    with multiprocessing.get_context("spawn").Pool(args.jobs, maxtasksperchild=1) as pool:
        for outcome in pool.imap(run_seed, seeds):
            failed_runs += bool(outcome.violations)
            print_outcome(outcome, args.log)
    print(f"{len(seeds)} runs, {failed_runs} red")
    return int(failed_runs > 0)


def print_outcome(outcome: Outcome, with_log: bool) -> None:
    """Print the summary line of a run and its first violations."""
    print(outcome.summary(), flush=True)
    for line in outcome.violations[:MAX_VIOLATIONS_SHOWN]:
        print(f"    {line}")
    if len(outcome.violations) > MAX_VIOLATIONS_SHOWN:
        print(f"    and {len(outcome.violations) - MAX_VIOLATIONS_SHOWN} more")
    if with_log and outcome.violations:
        print("\n".join(f"    | {line}" for line in outcome.gateway_log))


if __name__ == "__main__":
    sys.exit(main())
