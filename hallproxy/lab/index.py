"""How many index answers a second come from memory on one kept connection, and how long the front pauses.

    python -m hallproxy.lab.index --files 100 --seconds 5
    python -m hallproxy.lab.index --files 100000 --large

The first asks one index again and again. The second asks a small one all the time while a large one is
fetched, parsed and rendered once, and tells the longest answer of the small one: what it costs the others.
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

from hallproxy.lab.standin import JSON, Stand, front, upstream


def body_of(project: str, files: int) -> bytes:
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
    top = {"meta": {"api-version": "1.1"}, "name": project, "versions": versions, "files": entries}
    return json.dumps(top).encode()


def ask(made: http.client.HTTPConnection, project: str, coding: str = "identity") -> int:
    made.request("GET", f"/simple/{project}/", headers={"Accept": JSON, "Accept-Encoding": coding})
    said = made.getresponse()
    size = len(said.read())
    if said.status != 200:
        raise RuntimeError(f"status {said.status}")
    return size


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="hallproxy.lab.index", description="Index answers from memory.")
    parser.add_argument("--files", type=int, default=100)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--large", action="store_true", help="what one large index costs the others")
    args = parser.parse_args(argv)
    text = upstream({"many": body_of("many", args.files), "small": body_of("small", 10)})
    text = re.sub(r"file_most_mb = \d+", "file_most_mb = 128", text)
    text = text.replace("deadline_ns = 5_000_000_000", "deadline_ns = 30_000_000_000")
    with tempfile.TemporaryDirectory() as name, front(Path(name), text) as port:
        said = _large(port) if args.large else _rate(port, args.seconds)
    print(json.dumps({"files": args.files, "bytes": len(Stand.bodies["many"])} | said))
    return 0


def _rate(port: int, seconds: float) -> dict[str, float]:
    # A bare socket: the library's client takes longer than the front does.
    head = f"GET /simple/many/ HTTP/1.1\r\nHost: x\r\nAccept: {JSON}\r\n\r\n".encode()
    made = socket.create_connection(("127.0.0.1", port), 30)
    file = made.makefile("rb", buffering=1 << 20)

    def one() -> None:
        made.sendall(head)
        length = 0
        assert file.readline().split()[1] == b"200"
        while (line := file.readline()) != b"\r\n":
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        file.read(length)

    for _ in range(20):
        one()
    count, until = 0, time.perf_counter() + seconds
    while time.perf_counter() < until:
        one()
        count += 1
    return {"answers_per_s": round(count / seconds)}


def _large(port: int) -> dict[str, float]:
    small = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    for _ in range(50):
        ask(small, "small")
    took: list[float] = []
    over = threading.Event()

    def keep_asking() -> None:
        while not over.is_set():
            began = time.perf_counter()
            ask(small, "small")
            took.append(time.perf_counter() - began)

    asking = threading.Thread(target=keep_asking)
    asking.start()
    time.sleep(0.5)
    before = max(took)
    large = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    began = time.perf_counter()
    size = ask(large, "many")
    spent = time.perf_counter() - began
    over.set()
    asking.join()
    return {"large_s": round(spent, 2), "large_bytes": size, "longest_before_ms": round(before * 1e3, 1),
            "longest_ms": round(max(took) * 1e3, 1)}  # fmt: skip


if __name__ == "__main__":
    sys.exit(main())
