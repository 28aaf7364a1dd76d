"""Cost of the second front (package repositories): files answered from memory, and projects held.

The front runs in its own process with the operators' deploy file; a stand-in upstream runs beside the client.
Requests are sent at a steady rate: a front whose core is saturated rejects requests (503, `Retry-After`), and
on a busy machine it may reject some anyway. A rejected request is repeated after `Retry-After` and counted.
"""

import hashlib
import json
import socket
import time
from io import BufferedReader
from pathlib import Path
from socket import SocketIO

from hallproxy.lab.capacity.process import memory_kb, processor_s
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement
from hallproxy.lab.standin import JSON, UpstreamHandler, front_process, start_upstream

INDEX_FILES = 10
REQUEST_RATE = 250.0  # requests a second
MAX_REJECTED = 5  # requests; more make the measurement invalid


def index_of(project: str, files: dict[str, bytes]) -> bytes:
    entries = [
        {
            "filename": name,
            "url": f"/pool/{name}",
            "hashes": {"sha256": hashlib.sha256(body).hexdigest()},
            "size": len(body),
        }
        for name, body in files.items()
    ]
    return json.dumps({"meta": {"api-version": "1.0"}, "name": project, "files": entries}).encode()


class PersistentConnection:
    """A persistent client connection on a plain socket: the library's client is slower than the front."""

    def __init__(self, port: int, rate: float = REQUEST_RATE) -> None:
        self._interval, self._next_at = 1 / rate, 0.0
        self.rejected = 0  # rejected requests
        self._socket = socket.create_connection(("127.0.0.1", port), 30)
        self._file = BufferedReader(SocketIO(self._socket, "r"), 1 << 20)

    def ask(self, path: str) -> bytes:
        """The body of a 200, at the connection's rate. Raises MeasurementError for any other final answer."""
        while True:
            time.sleep(max(0.0, self._next_at - time.perf_counter()))
            self._next_at = max(self._next_at, time.perf_counter() - self._interval) + self._interval
            status, retry_after, body = self._request(path)
            if status == 200:
                return body
            if status != 503 or not retry_after or self.rejected >= MAX_REJECTED:
                raise MeasurementError(f"{path}: {status} after {self.rejected} rejected requests")
            self.rejected += 1
            time.sleep(retry_after)

    def _request(self, path: str) -> tuple[int, int, bytes]:
        """Status, `Retry-After` in s, body."""
        self._socket.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nAccept: {JSON}\r\n\r\n".encode())
        status_line, fields = self._file.readline().split(), {"content-length": 0, "retry-after": 0}
        if len(status_line) < 2:
            raise MeasurementError(f"{path}: the front ended the connection")
        while (line := self._file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            if name.lower() in fields:
                fields[name.lower()] = int(value)
        return int(status_line[1]), fields["retry-after"], self._file.read(fields["content-length"])

    def close(self) -> None:
        self._file.close()
        self._socket.close()


@measurement(
    name="second.indexes", role="repository", x="files", sizes=(10, 100, 400, 1_000), tiny=(1, 2, 5, 10),
    title="Processor time of an index that the second front has in memory, by the files that it lists, on "
    "one kept connection",
    quantities=(Quantity("core_us", "us"), Quantity("index_kb", "KB", fitted=False),
                Quantity("turned_away", "requests", fitted=False)), minutes=1.0,
)  # fmt: skip
def indexes(size: float, run: Run) -> Measured:
    wheels = {f"many-1.{n}-py3-none-any.whl": b"%d" % n for n in range(int(size))}
    count = 20 if run.tiny else 600
    text = start_upstream({"many": index_of("many", wheels)})
    with front_process(Path(run.scratch_dir), text) as (port, pid):
        client = PersistentConnection(port)
        expected = client.ask("/simple/many/")
        for _ in range(3 if run.tiny else 50):
            client.ask("/simple/many/")
        began = processor_s(pid)
        wrong = sum(client.ask("/simple/many/") != expected for _ in range(count))
        spent = processor_s(pid) - began
        client.close()
    listed = {file["filename"] for file in json.loads(expected)["files"]}
    if wrong or listed != set(wheels):
        raise MeasurementError(f"{wrong} of {count} answers are wrong, {len(listed)} files of {len(wheels)}")
    return {
        "core_us": spent / count * 1e6,
        "index_kb": len(expected) / 1e3,
        "turned_away": float(client.rejected),
    }


@measurement(
    name="second.files", role="repository", x="file", x_unit="KB", sizes=(10, 100, 1_000, 5_000),
    tiny=(1, 10, 50, 100), minutes=1.0,
    title="Processor time of a file that the second front has in memory, on one kept connection; KB of 1,000 "
    "bytes. With its 64 MB of copies a file of over 16 MB is never in memory",
    quantities=(Quantity("core_us", "us"), Quantity("turned_away", "requests", fitted=False)),
)  # fmt: skip
def files(size: float, run: Run) -> Measured:
    name = "many-1.0-py3-none-any.whl"
    body = run.random.randbytes(int(size * 1_000))
    count = 20 if run.tiny else 600 if size <= 100 else 100
    text = start_upstream({name: body, "many": index_of("many", {name: body})})
    before = UpstreamHandler.file_requests
    with front_process(Path(run.scratch_dir), text) as (port, pid):
        client = PersistentConnection(port, REQUEST_RATE if size <= 100 else 25.0)
        url = json.loads(client.ask("/simple/many/"))["files"][0]["url"]
        for _ in range(3 if run.tiny else 25):
            client.ask(url)
        began = processor_s(pid)
        wrong = sum(client.ask(url) != body for _ in range(count))
        spent = processor_s(pid) - began
        client.close()
    if wrong or UpstreamHandler.file_requests - before != 1:
        upstream_requests = UpstreamHandler.file_requests - before
        raise MeasurementError(
            f"{wrong} of {count} answers are wrong, upstream received {upstream_requests} requests"
        )
    return {"core_us": spent / count * 1e6, "turned_away": float(client.rejected)}


@measurement(
    name="second.projects", role="repository", x="projects", sizes=(100, 400, 1_600, 4_000),
    tiny=(2, 4, 8, 16),
    title=f"Resident memory of the second front with so many projects' indexes held, {INDEX_FILES} files "
    "each (250,000 files and 16 MB of served forms are its bounds), and processor time of the first answer "
    "of one",
    quantities=(Quantity("memory_kb", "KB"), Quantity("core_us", "us"),
                Quantity("turned_away", "requests", fitted=False)),
    minutes=1.0,
)  # fmt: skip
def projects(size: float, run: Run) -> Measured:
    count = int(size)
    bodies = {}
    for n in range(count):
        wheels = {f"p{n}-1.{k}-py3-none-any.whl": b"%d.%d" % (n, k) for k in range(INDEX_FILES)}
        bodies[f"p{n}"] = index_of(f"p{n}", wheels)
    text = start_upstream(bodies)
    with front_process(Path(run.scratch_dir), text) as (port, pid):
        client = PersistentConnection(port, 500.0)
        began, wrong = processor_s(pid), 0
        for n in range(count):
            index = json.loads(client.ask(f"/simple/p{n}/"))
            wrong += index["name"] != f"p{n}" or len(index["files"]) != INDEX_FILES
        spent = processor_s(pid) - began
        resident = memory_kb(pid)
        client.close()
    if wrong:
        raise MeasurementError(f"{wrong} of {count} indexes lack files or are another project's")
    rejected = float(client.rejected)
    return {"memory_kb": resident, "core_us": spent / count * 1e6, "turned_away": rejected}
