"""``python -m hallproxy``: one gateway."""

from __future__ import annotations

import sys

from hallproxy.run.main import main

if __name__ == "__main__":
    sys.exit(main())
