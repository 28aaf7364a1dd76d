"""What the measurements of the second front share: a stand-in upstream, and a front in a process."""

from __future__ import annotations

import subprocess
import sys
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).parents[2]
JSON = "application/vnd.pypi.simple.v1+json"


class Stand(BaseHTTPRequestHandler):
    """Answers with the body that the last part of the path names."""

    bodies: dict[str, bytes] = {}
    protocol_version = "HTTP/1.1"
    wbufsize = -1  # head and body in one write, or each answer waits for an acknowledgement of its head
    asked = 0  # for files

    def do_GET(self) -> None:
        name = self.path.strip("/").split("/")[-1]
        body = self.bodies.get(name, b"")
        Stand.asked += name.endswith(".whl")
        self.send_response(200 if body else 404)
        self.send_header("Content-Type", JSON)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        pass


def upstream(bodies: dict[str, bytes]) -> str:
    """Serve these bodies; the operators' deploy file with this upstream and a port of the system's choice."""
    Stand.bodies = bodies
    server = ThreadingHTTPServer(("127.0.0.1", 0), Stand)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    text = (ROOT / "deploy" / "repository.toml").read_text()
    text = text.replace('listen = "127.0.0.1:8081"', 'listen = "127.0.0.1:0"')
    return text.replace('address = "127.0.0.1:8082"', f'address = "127.0.0.1:{server.server_address[1]}"')


@contextmanager
def front(where: Path, text: str) -> Iterator[int]:
    """A front with that deploy file; its port."""
    with front_process(where, text) as (port, _):
        yield port


@contextmanager
def front_process(where: Path, text: str) -> Iterator[tuple[int, int]]:
    """The same; its port and the id of its process."""
    (where / "r.toml").write_text(text)
    process = subprocess.Popen(
        [sys.executable, "-m", "hallproxy", "repository", str(where / "r.toml")],
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    assert process.stderr is not None
    said_so = next(line for line in process.stderr if " listens on " in line)
    threading.Thread(target=process.stderr.read, daemon=True).start()
    try:
        yield int(said_so.rsplit(":", 1)[1]), process.pid
    finally:
        process.terminate()
        process.wait(timeout=15)
