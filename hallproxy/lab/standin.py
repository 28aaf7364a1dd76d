"""Shared by the measurements of the repository front: a stand-in upstream and a front process."""

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


class UpstreamHandler(BaseHTTPRequestHandler):
    """Responds with the body that the last path segment names."""

    bodies: dict[str, bytes] = {}
    protocol_version = "HTTP/1.1"
    wbufsize = -1  # one write for head and body: a separate head delays the body until its acknowledgement
    file_requests = 0

    def do_GET(self) -> None:
        name = self.path.strip("/").split("/")[-1]
        body = self.bodies.get(name, b"")
        UpstreamHandler.file_requests += name.endswith(".whl")
        self.send_response(200 if body else 404)
        self.send_header("Content-Type", JSON)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, format: str, *args: object) -> None:
        pass


def start_upstream(bodies: dict[str, bytes]) -> str:
    """Serve the bodies; return the deploy file with this upstream and a port that the system assigns."""
    UpstreamHandler.bodies = bodies
    server = ThreadingHTTPServer(("127.0.0.1", 0), UpstreamHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    text = (ROOT / "deploy" / "repository.toml").read_text()
    text = text.replace('listen = "127.0.0.1:8081"', 'listen = "127.0.0.1:0"')
    return text.replace('address = "127.0.0.1:8082"', f'address = "127.0.0.1:{server.server_address[1]}"')


@contextmanager
def front(directory: Path, text: str) -> Iterator[int]:
    """Run a front with the deploy file; yield its port."""
    with front_process(directory, text) as (port, _):
        yield port


@contextmanager
def front_process(directory: Path, text: str) -> Iterator[tuple[int, int]]:
    """Run a front with the deploy file; yield its port and process id."""
    (directory / "r.toml").write_text(text)
    process = subprocess.Popen(
        [sys.executable, "-m", "hallproxy", "repository", str(directory / "r.toml")],
        stderr=subprocess.PIPE,
        text=True,
        cwd=ROOT,
    )
    assert process.stderr is not None
    listening_line = next(line for line in process.stderr if " listens on " in line)
    threading.Thread(target=process.stderr.read, daemon=True).start()
    try:
        yield int(listening_line.rsplit(":", 1)[1]), process.pid
    finally:
        process.terminate()
        process.wait(timeout=15)
