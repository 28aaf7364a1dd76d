"""The second front's start and stop."""

from __future__ import annotations

import asyncio
import gc
import secrets
import socket
from pathlib import Path

from tornado.netutil import bind_sockets

from hallproxy import interface as i
from hallproxy.decisions import Router
from hallproxy.decisions.settings import check_settings
from hallproxy.files.disk import Disk, DiskError
from hallproxy.files.file_cache import DiskFileCache
from hallproxy.files.file_table import FileTable
from hallproxy.files.spool import DownloadSpool
from hallproxy.repository.config import RepositoryConfig, load
from hallproxy.repository.front import Repository
from hallproxy.repository.simple import Upstream
from hallproxy.run.change_log_poller import Poller
from hallproxy.run.config import ConfigError
from hallproxy.run.contracts import AppliedContracts, ContractError, applied_contracts, read_applied
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.listener import Listener
from hallproxy.run.log import log_line
from hallproxy.run.signals import Signals
from hallproxy.run.upstream_connections import UpstreamConnections
from hallproxy.state.events import ContractsUpdated, EndpointListUpdated, Reconfigured, WatchCaughtUp
from hallproxy.state.limits import Limits
from hallproxy.state.model import GatewayState
from hallproxy.state.units import MB

CONNECTIONS = 256
SECOND = 1_000_000_000
LOOK_EVERY = 0.1  # s between looks at the applied contracts
STOP_IN = 10.0  # s after SIGTERM by which what is open is cut


def bounds(config: RepositoryConfig) -> Limits:
    return Limits(
        connections=CONNECTIONS,
        # Bodies are taken in whole, so what is open at once bounds the memory they take.
        requests=CONNECTIONS,
        idle_timeout=config.settings.idle_close or 10 * SECOND,
        local_cache_bytes=config.copies_most,
        body_bytes=64 * MB,
        small_body_bytes=MB,
        negative_ttl=config.absent,
    )


def new_state(config: RepositoryConfig) -> GatewayState:
    state = GatewayState(config.settings, Router(config.settings, secrets.randbits(64)), bounds(config))
    state.strict_purges = state.serves_stale = True
    return state


def _members(config: RepositoryConfig, now: int) -> EndpointListUpdated:
    members = tuple(
        i.Endpoint(ident.encode(), i.EndpointState.READY, 0, config.settings.zone)
        for ident, _ in config.upstreams
    )
    change = i.EndpointsChanged(i.EndpointListKind.FULL, members)
    return EndpointListUpdated(now, change, tuple(where for _, where in config.upstreams))


def _disk(config: RepositoryConfig, loop: EffectRunner) -> Disk | None:
    """Files of a former life count from here on, by their names alone; what can't be one of them goes."""
    if config.files is None:
        return None
    try:
        disk = Disk(config.files)
    except DiskError as error:
        raise ConfigError(str(error)) from None
    table = FileTable(config.files_most)
    for name in table.recover(disk.list()):
        disk.remove(name)
    loop.state.file_cache = DiskFileCache(loop.state, table, config.files_large)
    loop.extension_handler = disk.do
    disk.attach(loop)
    log_line(f"files: {len(table.sizes)} kept, {table.used_bytes} bytes")
    return disk


async def serve(path: Path, config: RepositoryConfig, signals: Signals) -> None:
    loop = EffectRunner(new_state(config))
    disk = _disk(config, loop)
    upstream = Upstream(config.file_most, (where for _, where in config.upstreams), config.ways)
    loop.connections = stores = UpstreamConnections(loop, upstream)
    loop.dispatch(_members(config, loop.now()))
    front = Repository(loop, CONNECTIONS, upstream.indexes, config.routes)
    if disk is not None and config.files is not None:
        front.open_file = disk.open
        stores.downloads = DownloadSpool(config.files, config.files_most, config.files_large)
    front.tls = config.tls
    contracts = Watch(config.contracts, loop, front) if config.contracts is not None else None
    if contracts is not None:
        contracts.look(first=True)
    tasks = [asyncio.ensure_future(front.watch_lag())]
    if contracts is not None:
        tasks.append(asyncio.ensure_future(contracts.run()))
    poller = None
    if config.changelog is not None:
        loop.dispatch(WatchCaughtUp(loop.now()))
        poller = Poller(loop, config.changelog, 0)
        tasks.append(asyncio.ensure_future(poller.run()))
    host, port = config.listen
    socks = bind_sockets(port, host, family=socket.AF_INET, backlog=1024)
    for sock in socks:
        # A connection is worth looking at once it has said something; a silent one comes a while later.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 1)
    listeners = [Listener(sock, front.accept, front.close_idle) for sock in socks]
    gc.collect()
    gc.freeze()  # what is there at the start is for good: no full collection looks at it again
    log_line(f"repository listens on {host}:{listeners[0].sock.getsockname()[1]}")

    def reload() -> None:
        """Take the deploy file as it is now; one that can't be used changes nothing."""
        new = load(path)
        if [c.name for c in new.settings.classes] != [c.name for c in config.settings.classes]:
            raise ConfigError("other classes need a restart")
        if (new.listen, new.contracts) != (config.listen, config.contracts):
            raise ConfigError("another address to listen on, or other contracts, need a restart")
        if (new.tls is None) != (config.tls is None):
            raise ConfigError("TLS towards clients where there was none, or none any more, needs a restart")
        if (new.changelog is None) != (poller is None):
            raise ConfigError("a change log where there was none, or none any more, needs a restart")
        told = new.files, new.files_most, new.files_large
        if told != (config.files, config.files_most, config.files_large):
            raise ConfigError("other files on disk need a restart")
        check_settings(new.settings)
        upstream.configure(new.file_most, (where for _, where in new.upstreams), new.ways)
        loop.dispatch(Reconfigured(loop.now(), new.settings, bounds(new)))
        loop.dispatch(_members(new, loop.now()))
        front.routes = new.routes
        front.tls = new.tls
        if poller is not None and new.changelog is not None:
            poller.reconfigure(new.changelog, {"results": []})

    tasks.append(asyncio.ensure_future(signals.handle_reloads(reload)))
    await signals.stopped.wait()
    for listener in listeners:
        listener.close()
    until = asyncio.get_running_loop().time() + STOP_IN
    front.stopping = True
    # Not the core's requests: between the two that a file takes there is none open.
    while front.busy and asyncio.get_running_loop().time() < until:
        await asyncio.sleep(0.02)
    await front.close()
    if disk is not None:
        await disk.close()
    for task in tasks:
        task.cancel()


class Watch:
    """Brings applied contracts into force, at the start and whenever ``apply`` has written them anew."""

    def __init__(self, path: Path, loop: EffectRunner, front: Repository) -> None:
        self._path, self._loop, self._front = path, loop, front
        self._seen: tuple[int, int, int] | None = None

    def look(self, first: bool = False) -> None:
        try:
            stat = self._path.stat()
            seen = stat.st_mtime_ns, stat.st_size, stat.st_ino
        except OSError:
            seen = None
        if seen == self._seen and not first:
            return
        self._seen = seen
        try:
            serial, document = read_applied(self._path)
            applied: AppliedContracts = applied_contracts(document)
        except (ContractError, KeyError, TypeError, AttributeError) as error:
            if first:
                raise
            log_line(f"contracts stay as they were: {error}")
            return
        self._front.applied = applied
        self._loop.dispatch(ContractsUpdated(self._loop.now(), applied.contracts))
        log_line(f"contracts: state {serial}, {len(applied.contracts.contracts)} in force")

    async def run(self) -> None:
        while True:
            await asyncio.sleep(LOOK_EVERY)
            self.look()
