"""One soak run: a gateway process, its stand-ins and clients, signals and SIGKILL."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from hallproxy.lab.soak.changelog import ChangeLogStandin
from hallproxy.lab.soak.clients import SoakClient, Tally, connect
from hallproxy.lab.soak.plan import SOCKET_LIMIT, STORES, Disturbance, DisturbanceKind, Plan, draw_plan
from hallproxy.lab.soak.rules import Rules
from hallproxy.lab.soak.stores import StoreStandin
from hallproxy.wire import frames

ROOT = Path(__file__).parents[3]
SECOND = 1_000_000_000  # ns
READY_TIMEOUT = 30.0  # s
LATE_CONNECT_WINDOW = 0.4  # s after SIGTERM in which new connections are opened
READINESS_REQUEST_DELAY = 0.3  # s after SIGTERM
EXIT_GRACE = 0.5  # s that a killed process may take to exit


@dataclass
class Outcome:
    """The result of one seed; a run with violations has failed."""

    seed: int
    violations: list[str]
    tally: Tally
    exit_code: int | None
    ended_after: float  # s from SIGTERM
    gateway_log: list[str] = field(default_factory=list)

    def summary(self) -> str:
        """One line for the report."""
        codes = " ".join(f"{chr(code)}:{count}" for code, count in sorted(self.tally.codes.items()))
        state = "RED" if self.violations else "green"
        return (
            f"seed {self.seed} {state}: {self.tally.requests} requests, {codes}, "
            f"{self.tally.crossed} crossed, ended with {self.exit_code} after {self.ended_after:.2f} s"
        )


class SoakRun:
    """The parts of one run."""

    def __init__(self, plan: Plan, directory: Path) -> None:
        self._plan = plan
        self._directory = directory
        self._rng = random.Random(f"soak-run/{plan.seed}")
        rules = plan.settings["rules"]
        self._rules = Rules(
            drain_grace=rules["drain_grace_ns"] / SECOND,
            purge_grace=plan.settings["specifics"]["purge_grace_ns"] / SECOND,
            key_window=plan.settings["classes"][2]["key_ttl_ns"] / SECOND,
            hedging=plan.settings["bounds"]["second_copies"],
        )
        self._tally = Tally()
        self._log = ChangeLogStandin(self._rules)
        self._stores = [
            StoreStandin(name, self._rules, self._rng)
            for name in (*(f"s-{n}" for n in range(STORES)), "p-0", "o-0")
        ]
        self._clients: list[SoakClient] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._log_lines: list[str] = []
        self._process: asyncio.subprocess.Process
        self._port = 0

    async def run(self) -> Outcome:
        """Run from the start of the gateway to SIGKILL."""
        self._start_task(self._rules.measure_lag())
        for store in self._stores:
            await store.start()
        await self._log.start()
        kinds = ["std"] * STORES + ["parent", "origin"]
        entries = [store.instance_entry(kind=kind) for store, kind in zip(self._stores, kinds, strict=True)]
        self._log.add(fleet={"generation": 1, "reset": True, "instances": entries})
        await self._start_gateway()
        try:
            await self._run_load()
            ended_after = await self._stop()
        finally:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
            await self._close_standins()
        self._check_log()
        self._rules.check_notified()
        return Outcome(
            self._plan.seed,
            self._rules.violations,
            self._tally,
            self._process.returncode,
            ended_after,
            self._log_lines,
        )

    def _start_task(self, coroutine: Any) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def _close_standins(self) -> None:
        for client in self._clients:
            if client.transport is not None:
                client.transport.abort()
        self._log.stop()
        for store in self._stores:
            store.stop()

    # The gateway

    def _write_config(self) -> None:
        config = {"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f", "known": self._log.page(),
                  "changelog": self._log.address, "limits": {"memory_mb": 128, "sockets": SOCKET_LIMIT},
                  "flow_bytes_per_s": 10**7, "link_bytes_per_s": 10**7,
                  "settings": self._plan.settings}  # fmt: skip
        partial = self._directory / "config.json.new"
        partial.write_text(json.dumps(config))
        partial.replace(self._directory / "config.json")

    async def _start_gateway(self) -> None:
        self._write_config()
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environ |= {"EDGE_CONFIG": str(self._directory / "config.json"), "EDGE_NAME": "n1"}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hallproxy", cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
        )
        listening = asyncio.Event()
        self._start_task(self._read_log(listening))
        await asyncio.wait_for(listening.wait(), READY_TIMEOUT)

    async def _read_log(self, listening: asyncio.Event) -> None:
        assert self._process.stderr is not None
        while raw := await self._process.stderr.readline():
            line = raw.decode(errors="replace").rstrip()
            self._log_lines.append(line)
            if " listens on " in line:
                self._port = int(line.rsplit(":", 1)[1])
                listening.set()

    def _signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    # Load and disturbances

    async def _run_load(self) -> None:
        for _ in range(self._plan.idle_connections):
            await self._connect(requests=False)
        for _ in range(self._plan.clients):
            await self._connect()
        self._start_task(self._disturb())
        await asyncio.sleep(self._plan.stop_at)

    async def _connect(self, requests: bool = True) -> None:
        deadline = self._plan.settings["classes"][0]["deadline_ns"] / SECOND
        client = await connect(
            self._port, self._rules, self._tally, random.Random(self._rng.random()), deadline
        )
        if client is None:
            return
        client.refusal_allowed = self._plan.idle_connections > 0
        self._clients.append(client)
        if requests:
            self._start_task(self._send_requests(client))
        else:
            client.request_readiness()  # the gateway closes connections that never send a frame

    async def _send_requests(self, client: SoakClient) -> None:
        while not client.ended:
            if client.may_request:
                client.request()
            await asyncio.sleep(self._rng.expovariate(self._plan.request_rate))

    async def _disturb(self) -> None:
        began_at = asyncio.get_running_loop().time()
        for disturbance in self._plan.disturbances:
            await asyncio.sleep(max(0.0, began_at + disturbance.at - asyncio.get_running_loop().time()))
            await self._apply(disturbance)

    async def _apply(self, disturbance: Disturbance) -> None:
        store = self._stores[disturbance.store]
        match disturbance.kind:
            case DisturbanceKind.STORE_MODE:
                store.set_mode(disturbance.store_mode)
            case DisturbanceKind.STORE_DRAIN:
                self._publish_entry(store.instance_entry("Terminating"))
            case DisturbanceKind.STORE_REMOVAL:
                store.stop()
                self._publish_entry(store.instance_entry("Gone"))
            case DisturbanceKind.STORE_RESTART:
                store.stop()
                await store.start()
                self._publish_entry(store.instance_entry(started_at_ms=time.time_ns() // 1_000_000))
            case DisturbanceKind.LOG_MODE:
                await self._log.set_mode(disturbance.log_mode)
            case DisturbanceKind.PURGE:
                name = f"{disturbance.object_id:016x}" if disturbance.object_id else ""
                made_at = time.time_ns() // 1_000_000
                self._log.add(invalidate={"object": name, "bucket": disturbance.group, "time": made_at})
            case DisturbanceKind.RELOAD:
                await self._log.move()
                self._write_config()
                self._signal(signal.SIGHUP)

    def _publish_entry(self, entry: dict[str, Any]) -> None:
        self._log.add(fleet={"generation": 2, "reset": False, "instances": [entry]})

    # Shutdown

    async def _stop(self) -> float:
        """Send the signals and continue until SIGKILL; return the seconds from SIGTERM to the exit."""
        terminated_at = 0.0
        clock = asyncio.get_running_loop().time
        for number in self._plan.signals:
            self._signal(number)
            if number is signal.SIGTERM and not terminated_at:
                terminated_at = clock()
            await asyncio.sleep(self._plan.signal_gap)
        kill_at = terminated_at + self._plan.kill_delay
        readiness_requested = False
        while clock() < kill_at and self._process.returncode is None:
            elapsed = clock() - terminated_at
            if elapsed < LATE_CONNECT_WINDOW:
                await self._connect()
            if elapsed > READINESS_REQUEST_DELAY and not readiness_requested:
                readiness_requested = True
                for client in self._clients:
                    client.request_readiness(after_sigterm=True)
            await asyncio.sleep(0.02)
        ended_after = clock() - terminated_at
        if self._process.returncode is None:
            self._process.kill()
        await asyncio.wait_for(self._process.wait(), EXIT_GRACE + READY_TIMEOUT)
        await asyncio.sleep(0.1)  # for data written before the end to arrive
        self._check_end()
        return ended_after

    def _check_end(self) -> None:
        for client in self._clients:
            client.check_overdue()
            if client.readiness_code_after_sigterm == frames.SERVED:
                self._rules.violate("ready", "the gateway reports ready after SIGTERM")
        if self._process.returncode not in (0, -signal.SIGKILL):
            self._rules.violate("crash", f"the gateway exited with {self._process.returncode}")

    def _check_log(self) -> None:
        for line in self._log_lines:
            if "Traceback" in line or line.startswith("fault on"):
                self._rules.violate("fault", line)


def run_seed(seed: int) -> Outcome:
    """Run one seed in this process."""
    with tempfile.TemporaryDirectory(prefix="soak-") as directory:
        return asyncio.run(SoakRun(draw_plan(seed), Path(directory)).run())
