"""Measures files per second through the repository front: from upstream, memory and disk.

    python -m hallproxy.lab.files --kb 5000 --files 10 --seconds 3 --clients 1 4

Each source is measured with its own front, one after another, and a stand-in upstream on loopback. The disk's
front starts with a full directory; the files exceed its large_mb, so it never has one in memory.
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

from hallproxy.lab.standin import JSON, UpstreamHandler, front, start_upstream


def file_urls(port: int) -> list[str]:
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    connection.request("GET", "/simple/many/", headers={"Accept": JSON})
    return [file["url"] for file in json.loads(connection.getresponse().read())["files"]]


def measure_rate(port: int, clients: int, seconds: float) -> float:
    """Complete files per second that the clients download, each on one connection."""
    urls, counts = file_urls(port), [0] * clients
    deadline = time.perf_counter() + seconds

    def download(n: int) -> None:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
        while time.perf_counter() < deadline:
            connection.request("GET", urls[(n + counts[n]) % len(urls)])
            response = connection.getresponse()
            response.read()
            counts[n] += response.status == 200  # requests that get no slot in time are rejected

    threads = [threading.Thread(target=download, args=(n,)) for n in range(clients)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return sum(counts) / seconds


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.files", description="Measures files from upstream, memory and disk."
    )
    parser.add_argument("--kb", type=int, default=5000)
    parser.add_argument("--files", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--clients", type=int, nargs="+", default=[1, 4])
    args = parser.parse_args(argv)
    filenames = [f"many-1.{n}-py3-none-any.whl" for n in range(args.files)]
    bodies = {name: bytes([n % 256]) * args.kb * 1000 for n, name in enumerate(filenames)}
    entries = [
        {
            "filename": n,
            "url": f"/pool/{n}",
            "hashes": {"sha256": hashlib.sha256(bodies[n]).hexdigest()},
        }
        for n in filenames
    ]
    index = {"meta": {"api-version": "1.0"}, "name": "many", "files": entries}
    bodies["many"] = json.dumps(index).encode()
    text = start_upstream(bodies)
    without_memory = re.sub(r"copies_mb = \d+", "copies_mb = 0", text)
    with_disk = text.replace("[[upstream]]", '[files]\ndirectory = "kept"\nmost_mb = 4096\n\n[[upstream]]', 1)
    rates: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory() as name:
        directory = Path(name)
        with front(directory, with_disk) as port:
            measure_rate(port, 4, args.seconds)  # fills the directory
        for source, config in (("upstream", without_memory), ("memory", text), ("disk", with_disk)):
            with front(directory, config) as port:
                measure_rate(port, 1, args.seconds / 2)
                requests_before = UpstreamHandler.file_requests
                rates[source] = {str(n): round(measure_rate(port, n, args.seconds)) for n in args.clients}
                rates[source]["asked_upstream"] = UpstreamHandler.file_requests - requests_before
    print(json.dumps({"kb": args.kb, "files": args.files, "files_per_s_by_clients": rates}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
