"""Run one size of one measurement in this process, which `runner` starts.

Import nothing of fits, plots or the command line: their memory and threads would be measured too.
"""

import json
import random
import sys
import traceback
from pathlib import Path

from hallproxy.lab.capacity.catalogue import catalogue
from hallproxy.lab.capacity.registry import Run

FAILED = 3  # exit status; the outcome file gives the reason


def main(task: str) -> int:
    """`task` is a JSON object: name, x, seed, tiny, where (scratch directory), outcome (file to write)."""
    fields = json.loads(task)
    name, x, seed = fields["name"], fields["x"], fields["seed"]
    run = Run(seed, fields["tiny"], random.Random(f"{seed}/{name}/{x!r}"), Path(fields["where"]))
    try:
        outcome: dict[str, object] = {"values": catalogue()[name].body(x, run)}
    except Exception as error:  # any error must be reported in the results line
        traceback.print_exc()
        outcome = {"failed": f"{type(error).__name__}: {error}"}
    Path(fields["outcome"]).write_text(json.dumps(outcome), "utf-8")
    return FAILED if "failed" in outcome else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1]))
