"""Start, serve, stop."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable

from tornado.netutil import add_accept_handler, bind_sockets

from hallproxy.interface import SettingsError
from hallproxy.logic import Router
from hallproxy.run.changelog import Poller
from hallproxy.run.clients import Clients
from hallproxy.run.config import Config, ConfigError, load
from hallproxy.run.loop import Loop, say
from hallproxy.run.stores import HttpStores
from hallproxy.state.model import State
from hallproxy.wire.changelog import ChangeError

RESERVE = 48  # descriptors for the listener, the change log, the log and what is just being closed
OTHER_MB = 64  # of the memory limit that own copies leave to all else; a quarter of the rest is slack
ACCEPT_FOR = 0.8  # s after SIGTERM in which new connections and requests may still come
NO_MORE_AFTER = 0.45  # s after SIGTERM at which clients are told, once the front has turned away
QUIET_FOR = 0.3  # s without a new request or connection before the end
SECOND = 1_000_000_000


def new_state(config: Config) -> State:
    state = State(config.settings, Router(config.settings, config.seed))
    state.links_most = max(8, config.sockets - config.sockets * 2 // 5 - RESERVE)
    if config.settings.idle_close:
        # Closed here before the store does it: a request must not meet a connection being closed.
        state.idle_most = max(SECOND, config.settings.idle_close - 3 * SECOND)
    state.copies.most = max(0, config.memory_mb - OTHER_MB) * 1024 * 1024 * 3 // 4
    state.uplink.flow, state.uplink.link = config.flow, config.link
    return state


async def serve(config: Config, stopped: asyncio.Event) -> None:
    loop = Loop(new_state(config))
    loop.stores = HttpStores(loop)
    since, told = config.first_events(loop.now())
    for event in told:
        loop.bring(event)
    clients = Clients(loop, config.sockets * 2 // 5)
    host, port = config.listen
    listeners = bind_sockets(port, host, backlog=512)
    stops: list[Callable[[], None]] = [add_accept_handler(sock, clients.accept) for sock in listeners]
    poller = None
    if config.changelog is not None:
        poller = asyncio.get_running_loop().create_task(Poller(loop, config.changelog, since).run())
    gc.collect()
    gc.freeze()
    say(f"{config.name} listens on {host}:{listeners[0].getsockname()[1]}")
    await stopped.wait()
    await drain(clients, loop)
    for stop in stops:
        stop()
    for sock in listeners:
        sock.close()
    if poller is not None:
        poller.cancel()


async def drain(clients: Clients, loop: Loop) -> None:
    """After SIGTERM: take what still comes, answer all of it, then return.

    New connections come until the front has noticed; a client told too early would only open another one.
    """
    clock = asyncio.get_running_loop().time
    began = clock()
    say("stopping: no new work is asked for")
    told = False
    while True:
        await asyncio.sleep(0.02)
        if clock() - began >= NO_MORE_AFTER:
            told = True
            for connection in list(clients.connections):
                connection.no_more()
        quiet = clock() - max(clients.asked_at, began) >= QUIET_FOR
        if told and clock() - began >= ACCEPT_FOR and quiet and not loop.state.callers:
            break
    say(f"own copies served {loop.state.own_served}, hold {loop.state.copies.held} bytes")
    say("stopped: all is answered")


async def _main(config: Config) -> None:
    stopped = asyncio.Event()
    running = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        running.add_signal_handler(number, stopped.set)
    await serve(config, stopped)


def main() -> int:
    """One gateway in the foreground; a configuration it can't use ends it with one plain line."""
    try:
        asyncio.run(_main(load(os.environ)))
    except (ConfigError, SettingsError, ChangeError) as error:
        print(f"hallproxy: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"hallproxy: {error.strerror or error}", file=sys.stderr)
        return 1
    return 0
