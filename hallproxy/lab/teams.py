"""Two teams on loopback, one of which floods: what each keeps of its service.

    python -m hallproxy.lab.teams --seconds 10 --plot teams.png

Each row starts a stand-in upstream, the second front as operators start it, and one process for each team.
The front has one core to itself. A calm day has both teams at the quiet rate; in a rush one of them floods.
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

AIM = 500.0  # ms
ROOT = Path(__file__).parents[2]
TEAMS = {"quiet": "127.0.1.1", "flood": "127.0.2.1"}
LEAD = 1.0  # s for the processes to start


@dataclass(frozen=True)
class Day:
    """Rates in requests a second; ``slow`` is the factor on the source's time from the middle on."""

    name: str
    quiet: float = 60.0
    flood: float = 600.0
    servers: int = 8
    took_ms: float = 20.0
    slow: float = 1.0
    connections: int = 0
    repeats: bool = False
    contracts: bool = True
    weights: tuple[float, float] = (1.0, 1.0)

    @property
    def capacity(self) -> float:
        return self.servers * 1000 / self.took_ms


DAYS = (
    Day("source runs short"),
    Day("source slows fivefold midway", slow=5.0),
    Day("quiet promised 4 of 5, fivefold", slow=5.0, weights=(4.0, 1.0)),
    Day("flood of retries", repeats=True),
    Day("gateway runs short", 200, 2000, 16, 4.0),
    Day("flood on 1,000 connections", 200, 2000, 16, 4.0, connections=1000),
)


@dataclass
class Kept:
    """What one team got: shares of what it asked, latencies in ms of what was served."""

    asked: int
    in_time: float
    served: float
    refused: float
    lost: float  # no answer, or closed without one
    p50: float
    p99: float
    in_time_per_s: float


def kept(results: Sequence[tuple[float, int, float]], seconds: float) -> Kept:
    asked = max(1, len(results))
    took = sorted(ms for _, status, ms in results if status == 200) or [0.0]
    in_time = sum(1 for _, status, ms in results if status == 200 and ms <= AIM)
    return Kept(
        asked=len(results),
        in_time=in_time / asked,
        served=sum(1 for r in results if r[1] == 200) / asked,
        refused=sum(1 for r in results if r[1] >= 400) / asked,
        lost=sum(1 for r in results if r[1] <= 0) / asked,
        p50=took[len(took) // 2],
        p99=took[min(len(took) - 1, int(0.99 * len(took)))],
        in_time_per_s=in_time / seconds,
    )


def contracts_file(day: Day) -> str:
    lines = []
    for name, weight in zip(TEAMS, day.weights, strict=True):
        token = hashlib.sha256(name.encode()).hexdigest()
        lines.append(f'[teams.{name}]\ntoken_sha256 = "{token}"\nweight = {weight}')
    lines.append('[services.all]\nprojects = ["*"]')
    for name in TEAMS:
        lines.append(f'[[contracts]]\nteam = "{name}"\nservice = "all"\nretry_share = 0.2\nretry_floor = 2')
    return "\n".join(lines)


class Front:
    """The second front as a process, on a core of its own where there are several."""

    def __init__(self, folder: Path, upstream: str, day: Day) -> None:
        text = (ROOT / "deploy" / "repository.toml").read_text()
        text = text.replace('listen = "127.0.0.1:8081"', 'listen = "127.0.0.1:0"')
        text = re.sub(r'address = "127\.0\.0\.1:8082"', f'address = "{upstream}"', text)
        if day.contracts:
            text = re.sub(r"# contracts = \S+", 'contracts = "contracts.json"', text)
            (folder / "contracts.toml").write_text(contracts_file(day))
            self._run(folder, "plan", "contracts.toml", "--state", "contracts.json")
            self._run(folder, "apply", "contracts.toml.plan", "--state", "contracts.json")
        (folder / "repository.toml").write_text(text)
        self.process = subprocess.Popen(
            [sys.executable, "-m", "hallproxy", "repository", str(folder / "repository.toml")],
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
            if found := re.search(r"listens on (\S+)", line):
                self.address = found[1]
                break
        # Read on, or the pipe would fill and stop the front.
        threading.Thread(target=lambda: self.lines.extend(self.process.stderr or ()), daemon=True).start()

    def _run(self, folder: Path, *words: str) -> None:
        subprocess.run(
            [sys.executable, "-m", "hallproxy", *words], cwd=folder, env=_environ(), check=True,
            capture_output=True,
        )  # fmt: skip

    def stop(self) -> tuple[float, int]:
        """Seconds of the core that it took, and its status."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        used = (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK")
        self.process.send_signal(signal.SIGTERM)
        return used, self.process.wait(timeout=15)


def _environ() -> dict[str, str]:
    return {**os.environ, "PYTHONPATH": str(ROOT)}


def play(day: Day, rates: dict[str, float], seconds: float, seed: int) -> dict[str, Any]:
    """One run: what each team kept, what the source served, what the front took of its core."""
    cores = sorted(os.sched_getaffinity(0))
    others = set(cores[1:]) if len(cores) > 2 else set(cores)
    with tempfile.TemporaryDirectory() as name:
        source = subprocess.Popen(
            [sys.executable, "-m", "hallproxy.lab.source", "--servers", str(day.servers), "--took-ms",
             str(day.took_ms), "--seed", str(seed)],
            stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True, env=_environ(),
        )  # fmt: skip
        assert source.stdin is not None and source.stdout is not None
        os.sched_setaffinity(source.pid, others)
        front = Front(Path(name), source.stdout.readline().strip(), day)
        start = time.time() + LEAD
        loads = []
        for team, rate in rates.items():
            floods = team == "flood" and rate > rates["quiet"]
            words = ["--to", front.address, "--team", team, "--token", team, "--from", TEAMS[team]]
            words += ["--rate", str(rate), "--seconds", str(seconds), "--start", str(start)]
            words += ["--seed", str(seed)]
            if floods and day.connections:
                words += ["--connections", str(day.connections)]
            if floods and day.repeats:
                words.append("--repeats")
            load = subprocess.Popen(
                [sys.executable, "-m", "hallproxy.lab.load", *words], stdout=subprocess.PIPE, text=True,
                env=_environ(),
            )  # fmt: skip
            os.sched_setaffinity(load.pid, others)
            loads.append(load)
        if day.slow != 1.0:
            time.sleep(max(0.0, start + seconds / 2 - time.time()))
            source.stdin.write(f"{day.slow}\n")
            source.stdin.flush()
        said = {}
        for load in loads:
            out = json.loads(load.communicate(timeout=seconds + 30)[0])
            said[out["team"]] = out["results"]
        used, status = front.stop()
        source.stdin.close()
        served = json.loads(source.stdout.read())["served"]
        source.wait(timeout=10)
    assert status == 0, front.lines[-3:]
    return {
        "teams": {team: kept(results, seconds) for team, results in said.items()},
        "source_per_s": served / seconds,
        "core": used / (seconds + LEAD),
        "results": said,
    }


def measure(day: Day, seconds: float, seed: int) -> dict[str, Any]:
    calm = play(day, {"quiet": day.quiet, "flood": day.quiet}, seconds, seed)
    rush = play(day, {"quiet": day.quiet, "flood": day.flood}, seconds, seed)
    bare = play(replace(day, contracts=False), {"quiet": day.quiet, "flood": day.flood}, seconds, seed)
    return {"day": day, "calm": calm, "rush": rush, "bare": bare}


def row(measured: dict[str, Any]) -> dict[str, Any]:
    calm, rush, bare = (measured[k]["teams"]["quiet"] for k in ("calm", "rush", "bare"))
    in_time = sum(t.in_time_per_s for t in measured["rush"]["teams"].values())
    best = sum(t.in_time_per_s for t in measured["bare"]["teams"].values())
    return {
        "day": measured["day"].name,
        "calm in time": round(calm.in_time, 3),
        "rush in time": round(rush.in_time, 3),
        "kept": round(rush.in_time / max(1e-9, calm.in_time), 3),
        "without contracts": round(bare.in_time, 3),
        "calm p99 ms": calm.p99,
        "rush p99 ms": rush.p99,
        "p99 ratio": round(rush.p99 / max(1e-9, calm.p99), 2),
        "in time /s": round(in_time, 1),
        "in time /s without": round(best, 1),
        "quiet lost": round(rush.lost, 4),
        "flood in time": round(measured["rush"]["teams"]["flood"].in_time, 3),
        "flood lost": round(measured["rush"]["teams"]["flood"].lost, 3),
        "core": round(measured["rush"]["core"], 2),
    }


def table(rows: Sequence[dict[str, Any]]) -> str:
    names = list(rows[0])
    cells = [names, *[[str(r[n]) for n in names] for r in rows]]
    lines = ["| " + " | ".join(line) + " |" for line in cells]
    lines.insert(1, "|" + " --- |" * len(names))
    return "\n".join(lines)


def plot(measured: Sequence[dict[str, Any]], path: Path, seconds: float) -> None:
    """The quiet team's part in time, second by second, of each day."""
    import matplotlib

    matplotlib.use("agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(len(measured), 1, figsize=(9, 2.2 * len(measured)), squeeze=False)
    for axis, one in zip(axes[:, 0], measured, strict=True):
        for kind, color in (("calm", "tab:green"), ("rush", "tab:blue"), ("bare", "tab:red")):
            asked, good = [0] * int(seconds), [0] * int(seconds)
            for due, status, ms in one[kind]["results"]["quiet"]:
                asked[min(int(due), int(seconds) - 1)] += 1
                good[min(int(due), int(seconds) - 1)] += status == 200 and ms <= AIM
            parts = [g / a if a else 1.0 for g, a in zip(good, asked, strict=True)]
            label = {"bare": "rush, no contracts"}.get(kind, kind)
            axis.step(range(int(seconds)), parts, where="post", color=color, label=label)
        axis.set_title(one["day"].name, fontsize=9)
        axis.set_ylim(-0.02, 1.05)
        axis.set_ylabel("quiet in time")
    axes[0, 0].legend(fontsize=7, loc="lower left")
    axes[-1, 0].set_xlabel("s")
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main(argv: Sequence[str] | None = None) -> int:
    parser = argparse.ArgumentParser(
        prog="hallproxy.lab.teams", description="Two teams, one of which floods."
    )
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", help="days whose name holds this")
    parser.add_argument("--plot", type=Path)
    parser.add_argument("--json", action="store_true")
    args = parser.parse_args(argv)
    measured = [measure(d, args.seconds, args.seed) for d in DAYS if not args.only or args.only in d.name]
    rows = [row(m) for m in measured]
    print(json.dumps(rows, indent=1) if args.json else table(rows))
    if args.plot:
        plot(measured, args.plot, args.seconds)
    return 0


if __name__ == "__main__":
    sys.exit(main())
