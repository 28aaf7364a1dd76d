"""Measures how much service each of two teams keeps on loopback while one of them overloads the front.

    python -m hallproxy.lab.teams --seconds 10 --plot teams.png

Each run starts a stand-in upstream, the repository front as operators start it, and one process per team. The
front has a core of its own. In a "calm" run both teams send at the quiet rate; in a "rush" run one of them
sends at the flood rate, and a "bare" run is a rush without contracts.
"""

from __future__ import annotations

import argparse
import hashlib
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

LATENCY_OBJECTIVE_MS = 500.0
ROOT = Path(__file__).parents[2]
TEAMS = {"quiet": "127.0.1.1", "flood": "127.0.2.1"}
STARTUP_TIME = 1.0  # s that the processes have to start


@dataclass(frozen=True)
class Scenario:
    """Rates are in requests per second; ``slowdown`` multiplies the service time in the second half."""

    name: str
    quiet: float = 60.0
    flood: float = 600.0
    servers: int = 8
    service_time_ms: float = 20.0
    slowdown: float = 1.0
    connections: int = 0
    repeats: bool = False
    contracts: bool = True
    weights: tuple[float, float] = (1.0, 1.0)

    @property
    def capacity(self) -> float:
        return self.servers * 1000 / self.service_time_ms


SCENARIOS = (
    Scenario("source runs short"),
    Scenario("source slows fivefold midway", slowdown=5.0),
    Scenario("quiet promised 4 of 5, fivefold", slowdown=5.0, weights=(4.0, 1.0)),
    Scenario("flood of retries", repeats=True),
    Scenario("gateway runs short", 200, 2000, 16, 4.0),
    Scenario("flood on 1,000 connections", 200, 2000, 16, 4.0, connections=1000),
)


@dataclass
class TeamResult:
    """The results of one team: shares of its requests, and latencies in ms of those served."""

    requests: int
    in_time: float
    served: float
    rejected: float
    lost: float  # timed out, or closed without a response
    p50: float
    p99: float
    in_time_per_s: float


def summarize(results: Sequence[tuple[float, int, float]], seconds: float) -> TeamResult:
    requests = max(1, len(results))
    latencies = sorted(ms for _, status, ms in results if status == 200) or [0.0]
    in_time = sum(1 for _, status, ms in results if status == 200 and ms <= LATENCY_OBJECTIVE_MS)
    return TeamResult(
        requests=len(results),
        in_time=in_time / requests,
        served=sum(1 for r in results if r[1] == 200) / requests,
        rejected=sum(1 for r in results if r[1] >= 400) / requests,
        lost=sum(1 for r in results if r[1] <= 0) / requests,
        p50=latencies[len(latencies) // 2],
        p99=latencies[min(len(latencies) - 1, int(0.99 * len(latencies)))],
        in_time_per_s=in_time / seconds,
    )


def contracts_file(scenario: Scenario) -> str:
    lines = []
    for name, weight in zip(TEAMS, scenario.weights, strict=True):
        token = hashlib.sha256(name.encode()).hexdigest()
        lines.append(f'[teams.{name}]\ntoken_sha256 = "{token}"\nweight = {weight}')
    lines.append('[services.all]\nprojects = ["*"]')
    for name in TEAMS:
        lines.append(f'[[contracts]]\nteam = "{name}"\nservice = "all"\nretry_share = 0.2\nretry_floor = 2')
    return "\n".join(lines)


class Front:
    """A repository front process, on a core of its own if there are more than two."""

    def __init__(self, directory: Path, upstream: str, scenario: Scenario) -> None:
        text = (ROOT / "deploy" / "repository.toml").read_text()
        text = text.replace('listen = "127.0.0.1:8081"', 'listen = "127.0.0.1:0"')
        text = re.sub(r'address = "127\.0\.0\.1:8082"', f'address = "{upstream}"', text)
        if scenario.contracts:
            text = re.sub(r"# contracts = \S+", 'contracts = "contracts.json"', text)
            (directory / "contracts.toml").write_text(contracts_file(scenario))
            self._run(directory, "plan", "contracts.toml", "--state", "contracts.json")
            self._run(directory, "apply", "contracts.toml.plan", "--state", "contracts.json")
        (directory / "repository.toml").write_text(text)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hallproxy", "repository", str(directory / "repository.toml")],
            stderr=subprocess.PIPE, text=True, env=_environ(),
        )  # fmt: skip
        cores = sorted(os.sched_getaffinity(0))
        if len(cores) > 2:
            os.sched_setaffinity(self.process.pid, cores[:1])
        self.lines: list[str] = []
        self.address = ""
        assert self.process.stderr is not None
        for line in self.process.stderr:
            self.lines.append(line)
            if match := re.search(r"listens on (\S+)", line):
                self.address = match[1]
                break
        # Keep reading: a full pipe would block the front.
        threading.Thread(target=lambda: self.lines.extend(self.process.stderr or ()), daemon=True).start()

    def _run(self, directory: Path, *arguments: str) -> None:
        subprocess.run(
            [sys.executable, "-m", "hallproxy", *arguments], cwd=directory, env=_environ(), check=True,
            capture_output=True,
        )  # fmt: skip

    def stop(self) -> tuple[float, int]:
        """Stop the process; return its processor time in seconds and its exit status."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        core_s = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
        self.process.send_signal(signal.SIGTERM)
        return core_s, self.process.wait(timeout=15)


def _environ() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": str(ROOT)}


def run_scenario(scenario: Scenario, rates: dict[str, float], seconds: float, seed: int) -> dict[str, Any]:
    """One run: the results of each team, the rate that the source served, the front's use of its core."""
    cores = sorted(os.sched_getaffinity(0))
    load_cores = set(cores[1:]) if len(cores) > 2 else set(cores)
    with tempfile.TemporaryDirectory() as name:
        source = subprocess.Popen(
            [sys.executable, "-m", "hallproxy.lab.source", "--servers", str(scenario.servers), "--took-ms",
             str(scenario.service_time_ms), "--seed", str(seed)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, env=_environ(),
        )  # fmt: skip
        assert source.stdin is not None and source.stdout is not None
        os.sched_setaffinity(source.pid, load_cores)
        front = Front(Path(name), source.stdout.readline().strip(), scenario)
        start = time.time() + STARTUP_TIME
        loads = []
        for team, rate in rates.items():
            is_flood = team == "flood" and rate > rates["quiet"]
            arguments = ["--to", front.address, "--team", team, "--token", team, "--from", TEAMS[team]]
            arguments += ["--rate", str(rate), "--seconds", str(seconds), "--start", str(start)]
            arguments += ["--seed", str(seed)]
            if is_flood and scenario.connections:
                arguments += ["--connections", str(scenario.connections)]
            if is_flood and scenario.repeats:
                arguments.append("--repeats")
            load = subprocess.Popen(
                [sys.executable, "-m", "hallproxy.lab.load", *arguments], stdout=subprocess.PIPE, text=True,
                env=_environ(),
            )  # fmt: skip
            os.sched_setaffinity(load.pid, load_cores)
            loads.append(load)
        if scenario.slowdown != 1.0:
            time.sleep(max(0.0, start + seconds / 2 - time.time()))
            source.stdin.write(f"{scenario.slowdown}\n")
            source.stdin.flush()
        results_by_team = {}
        for load in loads:
            output = json.loads(load.communicate(timeout=seconds + 30)[0])
            results_by_team[output["team"]] = output["results"]
        core_s, status = front.stop()
        source.stdin.close()
        served = json.loads(source.stdout.read())["served"]
        source.wait(timeout=10)
    assert status == 0, front.lines[-3:]
    return {
        "teams": {team: summarize(results, seconds) for team, results in results_by_team.items()},
        "source_per_s": served / seconds,
        "core": core_s / (seconds + STARTUP_TIME),
        "results": results_by_team,
    }


def measure(scenario: Scenario, seconds: float, seed: int) -> dict[str, Any]:
    baseline = run_scenario(scenario, {"quiet": scenario.quiet, "flood": scenario.quiet}, seconds, seed)
    overload = run_scenario(scenario, {"quiet": scenario.quiet, "flood": scenario.flood}, seconds, seed)
    without_contracts = run_scenario(
        replace(scenario, contracts=False), {"quiet": scenario.quiet, "flood": scenario.flood}, seconds, seed
    )
    return {"day": scenario, "calm": baseline, "rush": overload, "bare": without_contracts}


def row(measurement: dict[str, Any]) -> dict[str, Any]:
    baseline, overload, without_contracts = (
        measurement[k]["teams"]["quiet"] for k in ("calm", "rush", "bare")
    )
    in_time = sum(t.in_time_per_s for t in measurement["rush"]["teams"].values())
    in_time_without_contracts = sum(t.in_time_per_s for t in measurement["bare"]["teams"].values())
    return {
        "day": measurement["day"].name,
        "calm in time": round(baseline.in_time, 3),
        "rush in time": round(overload.in_time, 3),
        "kept": round(overload.in_time / max(1e-9, baseline.in_time), 3),
        "without contracts": round(without_contracts.in_time, 3),
        "calm p99 ms": baseline.p99,
        "rush p99 ms": overload.p99,
        "p99 ratio": round(overload.p99 / max(1e-9, baseline.p99), 2),
        "in time /s": round(in_time, 1),
        "in time /s without": round(in_time_without_contracts, 1),
        "quiet lost": round(overload.lost, 4),
        "flood in time": round(measurement["rush"]["teams"]["flood"].in_time, 3),
        "flood lost": round(measurement["rush"]["teams"]["flood"].lost, 3),
        "core": round(measurement["rush"]["core"], 2),
    }


def table(rows: Sequence[dict[str, Any]]) -> str:
    names = list(rows[0])
    table_rows = [names, *[[str(r[n]) for n in names] for r in rows]]
    lines = ["| " + " | ".join(line) + " |" for line in table_rows]
    lines.insert(1, "|" + " --- |" * len(names))
    return "\n".join(lines)


def plot(measurements: Sequence[dict[str, Any]], path: Path, seconds: float) -> None:
    """Plot the quiet team's share of requests served in time per second, for each scenario."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(measurements), 1, figsize=(9, 2.2 * len(measurements)), squeeze=False)
    for axis, measurement in zip(axes[:, 0], measurements, strict=True):
        for variant, color in (("calm", "tab:green"), ("rush", "tab:blue"), ("bare", "tab:red")):
            requests, in_time = [0] * int(seconds), [0] * int(seconds)
            for scheduled, status, ms in measurement[variant]["results"]["quiet"]:
                requests[min(int(scheduled), int(seconds) - 1)] += 1
                in_time[min(int(scheduled), int(seconds) - 1)] += status == 200 and ms <= LATENCY_OBJECTIVE_MS
            shares = [g / a if a else 1.0 for g, a in zip(in_time, requests, strict=True)]
            label = {"bare": "rush, no contracts"}.get(variant, variant)
            axis.step(range(int(seconds)), shares, where="post", color=color, label=label)
        axis.set_title(measurement["day"].name, fontsize=9)
        axis.set_ylim(-0.02, 1.05)
        axis.set_ylabel("quiet in time")
    axes[0, 0].legend(fontsize=7, loc="lower left")
    axes[-1, 0].set_xlabel("s")
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.teams", description="Measures two teams, one of which overloads the front."
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", help="run the scenarios whose name contains this")
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    measurements = [
        measure(d, args.seconds, args.seed) for d in SCENARIOS if not args.only or args.only in d.name
    ]
    rows = [row(m) for m in measurements]
    print(json.dumps(rows, indent=1) if args.json else table(rows))
    if args.plot:
        plot(measurements, args.plot, args.seconds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
