"""One size of one measurement, in this process: `runner` starts it.

It imports nothing of fits, plots or the command line, as their memory and threads would count.
"""

import json
import random
import sys
import traceback
from pathlib import Path

from hallproxy.lab.capacity.catalogue import catalogue
from hallproxy.lab.capacity.registry import Run

FAILED = 3  # exit status; why is in the outcome's file


def main(task: str) -> int:
    """`task` is a JSON object: name, x, seed, tiny, where, outcome (the file that says what came of it)."""
    told = json.loads(task)
    name, x, seed = told["name"], told["x"], told["seed"]
    given = Run(seed, told["tiny"], random.Random(f"{seed}/{name}/{x!r}"), Path(told["where"]))
    try:
        came: dict[str, object] = {"values": catalogue()[name].body(x, given)}
    except Exception as error:  # whatever it is, the line in the results must say so
        traceback.print_exc()
        came = {"failed": f"{type(error).__name__}: {error}"}
    Path(told["outcome"]).write_text(json.dumps(came), "utf-8")
    return FAILED if "failed" in came else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
