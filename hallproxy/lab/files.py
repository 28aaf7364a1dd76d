"""Files a second through the second front: from upstream, from memory and from the disk.

    python -m hallproxy.lab.files --kb 5000 --files 10 --seconds 3 --clients 1 4

A front of its own for each way, one after another, with a stand-in upstream on loopback. The disk's front is
started anew on a full directory; the files are over its large_mb, so it never holds one in memory.
"""

from __future__ import annotations

import argparse
import hashlib
import http.client
import json
import re
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from hallproxy.lab.standin import JSON, Stand, front, upstream


def urls(port: int) -> list[str]:
    made = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    made.request("GET", "/simple/many/", headers={"Accept": JSON})
    return [file["url"] for file in json.loads(made.getresponse().read())["files"]]


def rate(port: int, clients: int, seconds: float) -> float:
    """Whole files a second that so many clients take, each on one connection."""
    wanted, counts = urls(port), [0] * clients
    until = time.perf_counter() + seconds

    def take(n: int) -> None:
        made = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
        while time.perf_counter() < until:
            made.request("GET", wanted[(n + counts[n]) % len(wanted)])
            said = made.getresponse()
            said.read()
            counts[n] += said.status == 200  # with no room for it in time a request is turned away

    threads = [threading.Thread(target=take, args=(n,)) for n in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / seconds


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="hallproxy.lab.files", description="Files from disk and elsewhere.")
    parser.add_argument("--kb", type=int, default=5000)
    parser.add_argument("--files", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--clients", type=int, nargs="+", default=[1, 4])
    args = parser.parse_args(argv)
    names = [f"many-1.{n}-py3-none-any.whl" for n in range(args.files)]
    bodies = {name: bytes([n % 256]) * args.kb * 1000 for n, name in enumerate(names)}
    entries = [
        {
            "filename": n,
            "url": f"/pool/{n}",
            "hashes": {"sha256": hashlib.sha256(bodies[n]).hexdigest()},
        }
        for n in names
    ]
    top = {"meta": {"api-version": "1.0"}, "name": "many", "files": entries}
    bodies["many"] = json.dumps(top).encode()
    text = upstream(bodies)
    none = re.sub(r"copies_mb = \d+", "copies_mb = 0", text)
    disk = text.replace("[[upstream]]", '[files]\ndirectory = "kept"\nmost_mb = 4096\n\n[[upstream]]', 1)
    shown: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory() as name:
        where = Path(name)
        with front(where, disk) as port:
            rate(port, 4, args.seconds)  # fills the directory
        for way, deploy in (("upstream", none), ("memory", text), ("disk", disk)):
            with front(where, deploy) as port:
                rate(port, 1, args.seconds / 2)
                before = Stand.asked
                shown[way] = {str(n): round(rate(port, n, args.seconds)) for n in args.clients}
                shown[way]["asked_upstream"] = Stand.asked - before
    print(json.dumps({"kb": args.kb, "files": args.files, "files_per_s_by_clients": shown}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
