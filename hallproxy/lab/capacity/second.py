"""What the second front (package repositories) costs: files answered from memory, and projects held.

A front in a process of its own with the operators' deploy file, and a stand-in upstream beside the client.
Requests come at a steady pace: a front whose core has no more time turns requests away (503, `Retry-After`),
and on a busy machine it may all the same. Such a request is asked again after the time told, and counted.
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
PACE = 250.0  # requests a second
AWAY_MOST = 5  # requests turned away; more are no measurement


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


class Kept:
    """One kept connection of a client. A bare socket: the library's takes longer than the front does."""

    def __init__(self, port: int, pace: float = PACE) -> None:
        self._every, self._due = 1 / pace, 0.0
        self.away = 0  # requests turned away
        self._made = socket.create_connection(("127.0.0.1", port), 30)
        self._file = BufferedReader(SocketIO(self._made, "r"), 1 << 20)

    def ask(self, path: str) -> bytes:
        """The body of a 200, in the connection's pace; raises MeasurementError at any other answer."""
        while True:
            time.sleep(max(0.0, self._due - time.perf_counter()))
            self._due = max(self._due, time.perf_counter() - self._every) + self._every
            status, again, body = self._one(path)
            if status == 200:
                return body
            if status != 503 or not again or self.away >= AWAY_MOST:
                raise MeasurementError(f"{path}: {status} after {self.away} turned away")
            self.away += 1
            time.sleep(again)

    def _one(self, path: str) -> tuple[int, int, bytes]:
        """Status, s after which to ask again, body."""
        self._made.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\nAccept: {JSON}\r\n\r\n".encode())
        words, told = self._file.readline().split(), {"content-length": 0, "retry-after": 0}
        if len(words) < 2:
            raise MeasurementError(f"{path}: the connection ended")
        while (line := self._file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode().partition(":")
            if name.lower() in told:
                told[name.lower()] = int(value)
        return int(words[1]), told["retry-after"], self._file.read(told["content-length"])

    def close(self) -> None:
        self._file.close()
        self._made.close()


@measurement(
    name="second.indexes", role="repository", x="files", sizes=(10, 100, 400, 1_000), tiny=(1, 2, 5, 10),
    title="Processor time of an index that the second front has in memory, by the files that it lists, on "
    "one kept connection",
    quantities=(Quantity("core_us", "us"), Quantity("index_kb", "KB", fitted=False),
                Quantity("turned_away", "requests", fitted=False)), minutes=1.0,
)  # fmt: skip
def indexes(size: float, run: Run) -> Measured:
    held = {f"many-1.{n}-py3-none-any.whl": b"%d" % n for n in range(int(size))}
    many = 20 if run.tiny else 600
    text = start_upstream({"many": index_of("many", held)})
    with front_process(Path(run.scratch_dir), text) as (port, pid):
        client = Kept(port)
        first = client.ask("/simple/many/")
        for _ in range(3 if run.tiny else 50):
            client.ask("/simple/many/")
        began = processor_s(pid)
        wrong = sum(client.ask("/simple/many/") != first for _ in range(many))
        spent = processor_s(pid) - began
        client.close()
    listed = {file["filename"] for file in json.loads(first)["files"]}
    if wrong or listed != set(held):
        raise MeasurementError(f"{wrong} of {many} answers are wrong, {len(listed)} files of {len(held)}")
    return {"core_us": spent / many * 1e6, "index_kb": len(first) / 1e3, "turned_away": float(client.away)}


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
    many = 20 if run.tiny else 600 if size <= 100 else 100
    text = start_upstream({name: body, "many": index_of("many", {name: body})})
    before = UpstreamHandler.file_requests
    with front_process(Path(run.scratch_dir), text) as (port, pid):
        client = Kept(port, PACE if size <= 100 else 25.0)
        url = json.loads(client.ask("/simple/many/"))["files"][0]["url"]
        for _ in range(3 if run.tiny else 25):
            client.ask(url)
        began = processor_s(pid)
        wrong = sum(client.ask(url) != body for _ in range(many))
        spent = processor_s(pid) - began
        client.close()
    if wrong or UpstreamHandler.file_requests - before != 1:
        asked = UpstreamHandler.file_requests - before
        raise MeasurementError(f"{wrong} of {many} answers are wrong, upstream heard {asked} requests")
    return {"core_us": spent / many * 1e6, "turned_away": float(client.away)}


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
    many = int(size)
    bodies = {}
    for n in range(many):
        held = {f"p{n}-1.{k}-py3-none-any.whl": b"%d.%d" % (n, k) for k in range(INDEX_FILES)}
        bodies[f"p{n}"] = index_of(f"p{n}", held)
    text = start_upstream(bodies)
    with front_process(Path(run.scratch_dir), text) as (port, pid):
        client = Kept(port, 500.0)
        began, short = processor_s(pid), 0
        for n in range(many):
            said = json.loads(client.ask(f"/simple/p{n}/"))
            short += said["name"] != f"p{n}" or len(said["files"]) != INDEX_FILES
        spent = processor_s(pid) - began
        resident = memory_kb(pid)
        client.close()
    if short:
        raise MeasurementError(f"{short} of {many} indexes lack files or are another project's")
    away = float(client.away)
    return {"memory_kb": resident, "core_us": spent / many * 1e6, "turned_away": away}
