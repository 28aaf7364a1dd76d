"""Helpers for a running gateway: suspend it, reload it, count what it sends, measure its memory."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

from tests.support.gateway import Platform, Program, until


@contextmanager
def suspended(program: Program) -> Iterator[None]:
    """Suspend the process (SIGSTOP); what arrives meanwhile is queued in its sockets until it continues."""
    stat = Path(f"/proc/{program.process.pid}/stat")
    program.process.send_signal(signal.SIGSTOP)
    until(lambda: stat.read_text().rsplit(")", 1)[1].split()[0] == "T")
    yield
    program.process.send_signal(signal.SIGCONT)


async def eventually(condition: Callable[[], Any]) -> None:
    """Wait for the condition while the event loop runs."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.002)


def connects_in_progress(port: int) -> int:
    """How many connections to the port are being opened (SYN sent, state 02) on this machine."""
    rows = [line.split() for line in Path("/proc/net/tcp").read_text().splitlines()[1:]]
    return sum(row[2].endswith(f":{port:04X}") and row[3] == "02" for row in rows)


def upstream_requests(platform: Platform, row: int) -> int:
    """How many requests for the object the endpoints have received."""
    return sum(f"{row:016x}" in r.path for r in platform.requests)


def reload_config(platform: Platform, text: str | None = None, **changed: Any) -> None:
    """Replace the configuration file, send SIGHUP and wait for the log line of the reload."""
    platform.config |= changed
    (platform.path / "config.json").write_text(json.dumps(platform.config) if text is None else text)
    before = reload_count(platform.program)
    platform.program.process.send_signal(signal.SIGHUP)
    until(lambda: reload_count(platform.program) > before)


def reload_count(program: Program) -> int:
    """How many reloads the program has logged, successful or not."""
    return sum(line.startswith("configuration ") for line in program.lines)


def anonymous_memory(pid: int) -> int:
    """Bytes of the process's own pages; 0 once it has ended."""
    try:
        status = Path(f"/proc/{pid}/status").read_text()
    except OSError:
        return 0
    return next((int(x.split()[1]) * 1024 for x in status.splitlines() if x.startswith("RssAnon")), 0)
