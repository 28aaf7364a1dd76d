"""Measures the cost of finding a project's route by the number of rules.

    python -m hallproxy.lab.routes

Half of the rules are pins, half are patterns. Projects are looked up in turn from a set of 20,000 names, a
tenth of which match no rule and so are compared with every pattern. Prints microseconds per lookup, the
median of five rounds, as JSON.
"""

from __future__ import annotations

import json
import statistics
import sys
import time

from hallproxy.routes import Routes, Rule

UPSTREAMS = ("private", "mirror", "public")
LOOKUPS = 50_000


def routes_of(count: int) -> tuple[Routes, list[str]]:
    rules = [Rule((f"team-{n}-*",), (("private",), ("public",))) for n in range(count // 2)]
    rules += [Rule((f"pinned-{n}",), (("mirror",),)) for n in range(count - count // 2)]
    names = [f"team-{n % max(1, count // 2)}-tool-{n}" for n in range(9_000)]
    names += [f"pinned-{n % max(1, count - count // 2)}" for n in range(9_000)]
    names += [f"public-name-{n}" for n in range(2_000)]
    return Routes(tuple(rules), UPSTREAMS), names


def us_per_lookup(routes: Routes, names: list[str]) -> float:
    """Microseconds per lookup, median of five rounds."""
    rounds = []
    for _ in range(5):
        began = time.perf_counter()
        for n in range(LOOKUPS):
            routes.find(names[n % len(names)])
        rounds.append((time.perf_counter() - began) / LOOKUPS * 1e6)
    return statistics.median(rounds)


def main(argv: list[str]) -> int:
    counts = [int(a) for a in argv] or [10, 100, 1_000, 10_000]
    for count in counts:
        routes, names = routes_of(count)
        print(json.dumps({"rules": count, "us_per_lookup": round(us_per_lookup(routes, names), 2)}))
    return 0


if __name__ == "__main__":
    raise SystemExit(main(sys.argv[1:]))
