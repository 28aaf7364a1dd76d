"""Measures index responses per second from memory on one connection, and how long the front pauses.

    python -m hallproxy.lab.index --files 100 --seconds 5
    python -m hallproxy.lab.index --files 100000 --large

The first requests one index repeatedly. The second requests a small index continuously while a large one is
fetched, parsed and rendered once, and reports the longest latency of the small one: the cost to the others.
"""

from __future__ import annotations

import argparse
import hashlib
import http.client
import json
import re
import socket
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from pathlib import Path

from hallproxy.lab.standin import JSON, UpstreamHandler, front, start_upstream


def index_body(project: str, files: int) -> bytes:
    entries = [
        {
            "filename": f"{project}-1.{n}-py3-none-any.whl",
            "url": f"/pool/{project}-1.{n}-py3-none-any.whl",
            "hashes": {"sha256": hashlib.sha256(b"%d" % n).hexdigest()},
            "size": 1000 + n,
            "upload-time": "2026-01-02T03:04:05Z",
            "requires-python": ">=3.8",
        }
        for n in range(files)
    ]
    versions = [f"1.{n}" for n in range(files)]
    index = {"meta": {"api-version": "1.1"}, "name": project, "versions": versions, "files": entries}
    return json.dumps(index).encode()


def fetch_index(connection: http.client.HTTPConnection, project: str, coding: str = "identity") -> int:
    connection.request("GET", f"/simple/{project}/", headers={"Accept": JSON, "Accept-Encoding": coding})
    response = connection.getresponse()
    size = len(response.read())
    if response.status != 200:
        raise RuntimeError(f"status {response.status}")
    return size


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.index", description="Measures index responses from memory."
    )
    parser.add_argument("--files", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument(
        "--large", action="store_true", help="measure what one large index costs other requests"
    )
    args = parser.parse_args(argv)
    text = start_upstream({"many": index_body("many", args.files), "small": index_body("small", 10)})
    text = re.sub(r"file_most_mb = \d+", "file_most_mb = 128", text)
    text = text.replace("deadline_ns = 5_000_000_000", "deadline_ns = 30_000_000_000")
    with tempfile.TemporaryDirectory() as name, front(Path(name), text) as port:
        figures = _measure_large_index(port) if args.large else _measure_rate(port, args.seconds)
    print(json.dumps({"files": args.files, "bytes": len(UpstreamHandler.bodies["many"])} | figures))
    return 0


def _measure_rate(port: int, seconds: float) -> dict[str, float]:
    # A plain socket, as the library's client takes longer than the front.
    head = f"GET /simple/many/ HTTP/1.1\r\nHost: x\r\nAccept: {JSON}\r\n\r\n".encode()
    connection = socket.create_connection(("127.0.0.1", port), 30)
    file = connection.makefile("rb", buffering=1 << 20)

    def request_index() -> None:
        connection.sendall(head)
        length = 0
        assert file.readline().split()[1] == b"200"
        while (line := file.readline()) != b"\r\n":
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        file.read(length)

    for _ in range(20):
        request_index()
    count, deadline = 0, time.perf_counter() + seconds
    while time.perf_counter() < deadline:
        request_index()
        count += 1
    return {"answers_per_s": round(count / seconds)}


def _measure_large_index(port: int) -> dict[str, float]:
    small = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    for _ in range(50):
        fetch_index(small, "small")
    latencies: list[float] = []
    stopped = threading.Event()

    def poll_small_index() -> None:
        while not stopped.is_set():
            began = time.perf_counter()
            fetch_index(small, "small")
            latencies.append(time.perf_counter() - began)

    poller = threading.Thread(target=poll_small_index)
    poller.start()
    time.sleep(0.5)
    longest_before = max(latencies)
    large = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    began = time.perf_counter()
    size = fetch_index(large, "many")
    elapsed = time.perf_counter() - began
    stopped.set()
    poller.join()
    return {"large_s": round(elapsed, 2), "large_bytes": size,
            "longest_before_ms": round(longest_before * 1e3, 1),
            "longest_ms": round(max(latencies) * 1e3, 1)}  # fmt: skip


if __name__ == "__main__":
    sys.exit(main())
