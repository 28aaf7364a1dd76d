"""One run of the soak: a gateway's process, its stand-ins and clients, signals and the kill."""

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
from hallproxy.lab.soak.plan import SOCKETS, STORES, Disturbance, DisturbanceKind, Plan, draw_plan
from hallproxy.lab.soak.rules import Rules
from hallproxy.lab.soak.stores import StoreStandin
from hallproxy.wire import frames

ROOT = Path(__file__).parents[3]
SECOND = 1_000_000_000  # ns
READY_WITHIN = 30.0  # s
LATE_CONNECTS = 0.4  # s after SIGTERM for which new connections come
READINESS_ASKED_AFTER = 0.3  # s after SIGTERM
EXIT_GRACE = 0.5  # s that a process that was killed takes to be gone


@dataclass
class Outcome:
    """What one seed gave; it is red if a rule was broken."""

    seed: int
    broken: list[str]
    tally: Tally
    exit_code: int | None
    ended_after: float  # s from SIGTERM
    log: list[str] = field(default_factory=list)  # of the gateway

    def line(self) -> str:
        """One line for the report."""
        codes = " ".join(f"{chr(code)}:{count}" for code, count in sorted(self.tally.codes.items()))
        state = "RED" if self.broken else "green"
        return (
            f"seed {self.seed} {state}: {self.tally.requests} requests, {codes}, "
            f"{self.tally.crossed} crossed, ended with {self.exit_code} after {self.ended_after:.2f} s"
        )


class SoakRun:
    """All parts of one run."""

    def __init__(self, plan: Plan, where: Path) -> None:
        self._plan = plan
        self._where = where
        self._drawn = random.Random(f"soak-run/{plan.seed}")
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
            StoreStandin(name, self._rules, self._drawn)
            for name in (*(f"s-{n}" for n in range(STORES)), "p-0", "o-0")
        ]
        self._clients: list[SoakClient] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._lines: list[str] = []
        self._process: asyncio.subprocess.Process
        self._port = 0

    async def play(self) -> Outcome:
        """From the start to the kill."""
        self._spawn(self._rules.measure_lag())
        for store in self._stores:
            await store.start()
        await self._log.start()
        kinds = ["std"] * STORES + ["parent", "origin"]
        lines = [store.line(kind=kind) for store, kind in zip(self._stores, kinds, strict=True)]
        self._log.add(fleet={"generation": 1, "reset": True, "instances": lines})
        await self._start_gateway()
        try:
            await self._use()
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
        self._rules.judge()
        return Outcome(
            self._plan.seed,
            self._rules.broken,
            self._tally,
            self._process.returncode,
            ended_after,
            self._lines,
        )

    def _spawn(self, work: Any) -> None:
        self._tasks.append(asyncio.ensure_future(work))

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
                  "changelog": self._log.address, "limits": {"memory_mb": 128, "sockets": SOCKETS},
                  "flow_bytes_per_s": 10**7, "link_bytes_per_s": 10**7,
                  "settings": self._plan.settings}  # fmt: skip
        partial = self._where / "config.json.new"
        partial.write_text(json.dumps(config))
        partial.replace(self._where / "config.json")

    async def _start_gateway(self) -> None:
        self._write_config()
        environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
        environ |= {"EDGE_CONFIG": str(self._where / "config.json"), "EDGE_NAME": "n1"}
        self._process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "hallproxy", cwd=ROOT, env=environ, stderr=asyncio.subprocess.PIPE
        )
        listening = asyncio.Event()
        self._spawn(self._read_log(listening))
        await asyncio.wait_for(listening.wait(), READY_WITHIN)

    async def _read_log(self, listening: asyncio.Event) -> None:
        assert self._process.stderr is not None
        while raw := await self._process.stderr.readline():
            line = raw.decode(errors="replace").rstrip()
            self._lines.append(line)
            if " listens on " in line:
                self._port = int(line.rsplit(":", 1)[1])
                listening.set()

    def _signal(self, number: signal.Signals) -> None:
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)

    # Its use

    async def _use(self) -> None:
        for _ in range(self._plan.crowd):
            await self._connect(requests=False)
        for _ in range(self._plan.clients):
            await self._connect()
        self._spawn(self._disturb())
        await asyncio.sleep(self._plan.stop_at)

    async def _connect(self, requests: bool = True) -> None:
        deadline = self._plan.settings["classes"][0]["deadline_ns"] / SECOND
        client = await connect(
            self._port, self._rules, self._tally, random.Random(self._drawn.random()), deadline
        )
        if client is None:
            return
        client.turned_away_allowed = self._plan.crowd > 0
        self._clients.append(client)
        if requests:
            self._spawn(self._request_on(client))
        else:
            client.ask_readiness()  # a connection that never sends a frame is ended in time

    async def _request_on(self, client: SoakClient) -> None:
        while not client.ended:
            if client.may_request:
                client.request()
            await asyncio.sleep(self._drawn.expovariate(self._plan.request_rate))

    async def _disturb(self) -> None:
        began = asyncio.get_running_loop().time()
        for one in self._plan.disturbances:
            await asyncio.sleep(max(0.0, began + one.at - asyncio.get_running_loop().time()))
            await self._apply(one)

    async def _apply(self, one: Disturbance) -> None:
        store = self._stores[one.store]
        match one.kind:
            case DisturbanceKind.STORE_MODE:
                store.set_mode(one.store_mode)
            case DisturbanceKind.STORE_DRAIN:
                self._add_line(store.line("Terminating"))
            case DisturbanceKind.STORE_GONE:
                store.stop()
                self._add_line(store.line("Gone"))
            case DisturbanceKind.STORE_RESTART:
                store.stop()
                await store.start()
                self._add_line(store.line(started_at_ms=time.time_ns() // 1_000_000))
            case DisturbanceKind.LOG_MODE:
                await self._log.set_mode(one.log_mode)
            case DisturbanceKind.PURGE:
                name = f"{one.object_id:016x}" if one.object_id else ""
                made_at = time.time_ns() // 1_000_000
                self._log.add(invalidate={"object": name, "bucket": one.group, "time": made_at})
            case DisturbanceKind.RELOAD:
                await self._log.move()
                self._write_config()
                self._signal(signal.SIGHUP)

    def _add_line(self, line: dict[str, Any]) -> None:
        self._log.add(fleet={"generation": 2, "reset": False, "instances": [line]})

    # Its end

    async def _stop(self) -> float:
        """Send the signals and go on until the kill; returns how long (s) the process took to end."""
        terminated_at = 0.0
        clock = asyncio.get_running_loop().time
        for number in self._plan.signals:
            self._signal(number)
            if number is signal.SIGTERM and not terminated_at:
                terminated_at = clock()
            await asyncio.sleep(self._plan.signal_gap)
        killed_at = terminated_at + self._plan.kill_delay
        asked = False
        while clock() < killed_at and self._process.returncode is None:
            elapsed = clock() - terminated_at
            if elapsed < LATE_CONNECTS:
                await self._connect()
            if elapsed > READINESS_ASKED_AFTER and not asked:
                asked = True
                for client in self._clients:
                    client.ask_readiness(stopping=True)
            await asyncio.sleep(0.02)
        ended_after = clock() - terminated_at
        if self._process.returncode is None:
            self._process.kill()
        await asyncio.wait_for(self._process.wait(), EXIT_GRACE + READY_WITHIN)
        await asyncio.sleep(0.1)  # what was written ahead of the end arrives
        self._check_end()
        return ended_after

    def _check_end(self) -> None:
        for client in self._clients:
            client.check_overdue()
            if client.ready_code_when_stopping == frames.SERVED:
                self._rules.violate("ready", "a gateway told to end says that it takes work")
        if self._process.returncode not in (0, -signal.SIGKILL):
            self._rules.violate("crash", f"the gateway ended with {self._process.returncode}")

    def _check_log(self) -> None:
        for line in self._lines:
            if "Traceback" in line or line.startswith("fault on"):
                self._rules.violate("fault", line)


def play(seed: int) -> Outcome:
    """One run in this process."""
    with tempfile.TemporaryDirectory(prefix="soak-") as where:
        return asyncio.run(SoakRun(draw_plan(seed), Path(where)).play())
