"""The relay's start and stop."""

from __future__ import annotations

import asyncio
import gc
import socket
import time
from pathlib import Path
from random import Random

from tornado.netutil import bind_sockets

from hallproxy.feed import SECOND
from hallproxy.feed.change_log import ChangeLog
from hallproxy.feed.confirmation import ConfirmationTracker
from hallproxy.feed.freshness import Freshness
from hallproxy.feed.source_selection import SourceSelection
from hallproxy.relay.config import RelayConfig, connection_limit, load
from hallproxy.relay.front import Front
from hallproxy.relay.status import Status, build_status
from hallproxy.relay.upstream import Upstream
from hallproxy.run.change_log_source import SingleSource, Sources
from hallproxy.run.config import ConfigError
from hallproxy.run.listener import Listener
from hallproxy.run.log import log_line
from hallproxy.run.signals import Signals

BACKLOG = 2048  # connections
STOP_TIMEOUT = 3.0  # s after SIGTERM until open connections are closed


def _sources(config: RelayConfig) -> Sources:
    if len(config.upstream) == 1:
        return SingleSource(config.upstream[0])
    return SourceSelection(config.name, config.upstream, config.spread_ms / 1000, Random())


class Publisher:
    """Publishes gathered events when their delay has passed, and has waiting polls answered."""

    def __init__(self, log: ChangeLog) -> None:
        self._log = log
        self._timer: asyncio.TimerHandle | None = None
        self._publish_count = log.publish_count
        self.front: Front

    def update(self) -> None:
        """Called after each upstream page, and when gathered events are to be published."""
        log, now = self._log, time.monotonic_ns()
        publish_at = log.publish_at()
        if publish_at is not None and publish_at <= now:
            log.publish()
            publish_at = None
        if self._publish_count != log.publish_count:
            self._publish_count = log.publish_count
            self.front.answer_waiting_polls()
        if publish_at is None:
            if self._timer is not None:
                self._timer.cancel()
                self._timer = None
        elif self._timer is None:
            self._timer = asyncio.get_running_loop().call_later((publish_at - now) / SECOND, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.update()


async def serve(path: Path, config: RelayConfig, signals: Signals) -> None:
    """Run the relay until SIGTERM; SIGHUP reloads the configuration file."""
    # Monotonic: only durations are measured, and setting the system clock must not affect them.
    now = time.monotonic_ns
    log = ChangeLog(config.limits)
    freshness = Freshness(config.name, config.max_age)
    confirmations = ConfirmationTracker()
    front = Front(log, freshness, confirmations, connection_limit(config.max_followers), now)
    publisher = Publisher(log)
    publisher.front = front
    upstream = Upstream(
        _sources(config), config.wait_ms, log, freshness, confirmations, now, publisher.update
    )
    host, port = config.listen
    sockets = bind_sockets(port, host, family=socket.AF_INET, backlog=BACKLOG)
    listeners = [Listener(sock, front.accept, front.free_descriptor) for sock in sockets]
    addresses = config.upstream

    def report_status() -> Status:
        return build_status(config.name, front, upstream, addresses, now())

    front.report_status = report_status
    gc.collect()
    gc.freeze()  # objects of the start live as long as the process; full collections skip them
    tasks = [asyncio.ensure_future(upstream.run())]
    log_line(f"{config.name} listens on {host}:{listeners[0].sock.getsockname()[1]}")

    def reload() -> None:
        """Apply the file's current content; an invalid file changes nothing."""
        nonlocal addresses
        new = load(path)
        if (new.name, new.listen) != (config.name, config.listen):
            raise ConfigError("a change of name or listen requires a restart")
        log.configure(new.limits)
        freshness.max_age = new.max_age
        front.max_followers = connection_limit(new.max_followers)
        upstream.wait = new.wait_ms
        if new.upstream != addresses:
            addresses = new.upstream
            upstream.switch_sources(_sources(new))
        publisher.update()

    tasks.append(asyncio.ensure_future(signals.handle_reloads(reload)))
    await signals.stopped.wait()
    log_line("stopping: answering waiting polls")
    for listener in listeners:
        listener.close()  # accepts the connections in the backlog first
    deadline = time.monotonic() + STOP_TIMEOUT
    front.stop()
    while front.connections and time.monotonic() < deadline:
        await asyncio.sleep(0.01)
    if front.connections:
        log_line(f"stopping: closing {len(front.connections)} connections that are still open")
    front.close()
    for task in tasks:
        task.cancel()
    log_line("stopped")
