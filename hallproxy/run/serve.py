"""Runs one gateway, from its start to the end of its shutdown."""

from __future__ import annotations

import asyncio
import gc
from functools import partial

from tornado.netutil import bind_sockets

from hallproxy.run.config import Address, Config
from hallproxy.run.downstream_connections import DownstreamConnections
from hallproxy.run.gateway import GatewayFiles, build
from hallproxy.run.listener import Listener
from hallproxy.run.log import log_line
from hallproxy.run.reload import reload
from hallproxy.run.shutdown import drain
from hallproxy.run.signals import Signals

BACKLOG = 512  # connections that the system establishes before the gateway accepts them


async def serve(config: Config, files: GatewayFiles, signals: Signals) -> None:
    """Serve until ``signals.stopped``; the listening address is logged once requests are accepted."""
    gateway = build(config, files)
    tasks: list[asyncio.Task[None]] = []
    if gateway.poller is not None:
        tasks.append(asyncio.ensure_future(gateway.poller.run()))
        await gateway.poller.wait_until_current()
    listeners = _listen(config.listen, gateway.clients)
    # Objects allocated at the start are permanent: exclude them from garbage collection.
    gc.collect()
    gc.freeze()
    log_line(f"{config.name} listens on {config.listen[0]}:{listeners[0].sock.getsockname()[1]}")
    tasks.append(asyncio.ensure_future(signals.handle_reloads(partial(reload, gateway))))
    await signals.stopped.wait()
    await drain(gateway.clients, gateway.runner, partial(_close, listeners))
    for task in tasks:
        task.cancel()


def _listen(address: Address, clients: DownstreamConnections) -> list[Listener]:
    host, port = address
    sockets = bind_sockets(port, host, backlog=BACKLOG)
    return [Listener(sock, clients.accept, clients.free_descriptor) for sock in sockets]


def _close(listeners: list[Listener]) -> None:
    for listener in listeners:
        listener.close()
