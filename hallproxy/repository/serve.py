"""Start, reload and shutdown of the second front."""

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
from hallproxy.repository.front import RepositoryFront
from hallproxy.repository.simple import UpstreamCodec
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

MAX_CONNECTIONS = 256
SECOND = 1_000_000_000  # ns
CONTRACTS_POLL_INTERVAL = 0.1  # s between checks of the applied contracts
SHUTDOWN_TIMEOUT = 10.0  # s after SIGTERM until open connections are closed


def gateway_limits(config: RepositoryConfig) -> Limits:
    return Limits(
        connections=MAX_CONNECTIONS,
        # Bodies are read into memory, so the limit on requests in flight bounds their memory.
        requests=MAX_CONNECTIONS,
        idle_timeout=config.settings.idle_close or 10 * SECOND,
        local_cache_bytes=config.memory_cache_bytes,
        body_bytes=64 * MB,
        small_body_bytes=MB,
        negative_ttl=config.negative_ttl,
    )


def new_state(config: RepositoryConfig) -> GatewayState:
    state = GatewayState(
        config.settings, Router(config.settings, secrets.randbits(64)), gateway_limits(config)
    )
    state.strict_purges = state.serves_stale = True
    return state


def _endpoint_list(config: RepositoryConfig, now: int) -> EndpointListUpdated:
    endpoints = tuple(
        i.Endpoint(ident.encode(), i.EndpointState.READY, 0, config.settings.zone)
        for ident, _ in config.upstreams
    )
    change = i.EndpointsChanged(i.EndpointListKind.FULL, endpoints)
    return EndpointListUpdated(
        now, change, tuple(upstream_address for _, upstream_address in config.upstreams)
    )


def _open_disk_cache(config: RepositoryConfig, runner: EffectRunner) -> Disk | None:
    """Open the disk cache. Files of an earlier run are recovered by name alone; others are removed."""
    if config.disk_cache is None:
        return None
    try:
        disk = Disk(config.disk_cache)
    except DiskError as error:
        raise ConfigError(str(error)) from None
    table = FileTable(config.disk_cache_bytes)
    for name in table.recover(disk.list()):
        disk.remove(name)
    runner.state.file_cache = DiskFileCache(runner.state, table, config.large_file_bytes)
    runner.extension_handler = disk.do
    disk.attach(runner)
    log_line(f"files: recovered {len(table.sizes)} cached files, {table.used_bytes} bytes")
    return disk


async def serve(path: Path, config: RepositoryConfig, signals: Signals) -> None:
    runner = EffectRunner(new_state(config))
    disk = _open_disk_cache(config, runner)
    upstream = UpstreamCodec(
        config.max_file_bytes,
        (upstream_address for _, upstream_address in config.upstreams),
        config.upstream_options,
    )
    runner.connections = connections = UpstreamConnections(runner, upstream)
    runner.dispatch(_endpoint_list(config, runner.now()))
    front = RepositoryFront(runner, MAX_CONNECTIONS, upstream.indexes, config.routes)
    if disk is not None and config.disk_cache is not None:
        front.open_file = disk.open
        connections.downloads = DownloadSpool(
            config.disk_cache, config.disk_cache_bytes, config.large_file_bytes
        )
    front.tls = config.tls
    contracts = ContractsWatcher(config.contracts, runner, front) if config.contracts is not None else None
    if contracts is not None:
        contracts.check(initial=True)
    tasks = [asyncio.ensure_future(front.measure_lag())]
    if contracts is not None:
        tasks.append(asyncio.ensure_future(contracts.run()))
    poller = None
    if config.changelog is not None:
        runner.dispatch(WatchCaughtUp(runner.now()))
        poller = Poller(runner, config.changelog, 0)
        tasks.append(asyncio.ensure_future(poller.run()))
    host, port = config.listen
    listening_sockets = bind_sockets(port, host, family=socket.AF_INET, backlog=1024)
    for sock in listening_sockets:
        # Accept a connection once it has sent data; the system hands over a silent one after a delay.
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_DEFER_ACCEPT, 1)
    listeners = [Listener(sock, front.accept, front.close_idle) for sock in listening_sockets]
    gc.collect()
    gc.freeze()  # objects of the start live as long as the process: keep them out of full collections
    log_line(f"repository listens on {host}:{listeners[0].sock.getsockname()[1]}")

    def reload() -> None:
        """Load and apply the deploy file; one that can't be used changes nothing."""
        new = load(path)
        if [c.name for c in new.settings.classes] != [c.name for c in config.settings.classes]:
            raise ConfigError("settings: a change of the classes needs a restart")
        if (new.listen, new.contracts) != (config.listen, config.contracts):
            raise ConfigError("a change of listen or contracts needs a restart")
        if (new.tls is None) != (config.tls is None):
            raise ConfigError("adding or removing tls_certificate and tls_key needs a restart")
        if (new.changelog is None) != (poller is None):
            raise ConfigError("adding or removing changelog needs a restart")
        new_cache = new.disk_cache, new.disk_cache_bytes, new.large_file_bytes
        if new_cache != (config.disk_cache, config.disk_cache_bytes, config.large_file_bytes):
            raise ConfigError("a change of files needs a restart")
        check_settings(new.settings)
        upstream.configure(
            new.max_file_bytes,
            (upstream_address for _, upstream_address in new.upstreams),
            new.upstream_options,
        )
        runner.dispatch(Reconfigured(runner.now(), new.settings, gateway_limits(new)))
        runner.dispatch(_endpoint_list(new, runner.now()))
        front.routes = new.routes
        front.tls = new.tls
        if poller is not None and new.changelog is not None:
            poller.reconfigure(new.changelog, {"results": []})

    tasks.append(asyncio.ensure_future(signals.handle_reloads(reload)))
    await signals.stopped.wait()
    for listener in listeners:
        listener.close()
    deadline = asyncio.get_running_loop().time() + SHUTDOWN_TIMEOUT
    front.stopping = True
    # The core's requests don't show it: between the two that a file takes, none is in flight.
    while front.in_flight_requests and asyncio.get_running_loop().time() < deadline:
        await asyncio.sleep(0.02)
    await front.close()
    if disk is not None:
        await disk.close()
    for task in tasks:
        task.cancel()


class ContractsWatcher:
    """Applies the contracts of the state file, at the start and whenever ``apply`` has rewritten it."""

    def __init__(self, path: Path, runner: EffectRunner, front: RepositoryFront) -> None:
        self._path, self._runner, self._front = path, runner, front
        self._version: tuple[int, int, int] | None = None  # modification time (ns), bytes, inode

    def check(self, initial: bool = False) -> None:
        try:
            stat = self._path.stat()
            version = stat.st_mtime_ns, stat.st_size, stat.st_ino
        except OSError:
            version = None
        if version == self._version and not initial:
            return
        self._version = version
        try:
            serial, document = read_applied(self._path)
            applied: AppliedContracts = applied_contracts(document)
        except (ContractError, KeyError, TypeError, AttributeError) as error:
            if initial:
                raise
            log_line(f"contracts not applied, the current ones stay in force: {error}")
            return
        self._front.applied = applied
        self._runner.dispatch(ContractsUpdated(self._runner.now(), applied.contracts))
        log_line(f"contracts: applied state {serial}, {len(applied.contracts.contracts)} in force")

    async def run(self) -> None:
        while True:
            await asyncio.sleep(CONTRACTS_POLL_INTERVAL)
            self.check()
