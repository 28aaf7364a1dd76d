"""What a gateway's start costs, with the list of the operators' size in its configuration.

Its change log holds one change more than `known`, which the first poll brings: the port opens behind that.
"""

import time

from hallproxy.lab.capacity import fleet, process
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement

HEARD_IN = 10.0  # s


def _started(count: int, members: int, run: Run) -> tuple[list[process.Gateway], float]:
    """So many gateways at once, all ready, all with the first poll's news; bytes of its answer."""
    listed = fleet.endpoint_lines(members, run.random, address="127.0.0.1:9")
    drained = next(line for line in listed if line["machineType"] == "std")
    events = [fleet.full_list(listed), fleet.list_change(drained, lifecycle="Terminating")]
    known = fleet.page(events[:1])
    made: list[process.Gateway] = []
    with process.standins(lambda _: fleet.page(events)) as (standins, _):
        try:
            for n in range(count):
                where = run.scratch_dir / str(n)
                where.mkdir()
                made.append(process.Gateway(where, f"n{n}", known, standins.log, fleet.settings_json()))
            end = time.perf_counter() + process.READY_TIMEOUT
            while waiting := [one for one in made if not one.port]:
                for one in waiting:
                    one.listen(0.002)
                if time.perf_counter() > end:
                    raise MeasurementError(f"{len(waiting)} of {count} gateways aren't ready")
            for one in made:
                one.ready()
                one.core_s, one.peak_kb = one.processor_s(), one.memory_kb("VmHWM")
            end = time.perf_counter() + HEARD_IN
            while standins.counts.heard < 2:
                if time.perf_counter() > end:
                    raise MeasurementError(f"{HEARD_IN:g} s after it no poll asks from the last change")
                time.sleep(0.01)
            return made, standins.counts.first_poll_bytes
        finally:
            for one in made:
                one.kill()


@measurement(
    name="starts.members", role="start", x="members", sizes=(150, 500, 1500, 5000), tiny=(4, 8, 16, 32),
    title="From exec to the open port of one gateway, and what it used by then, by members in 51 zones of 17 "
    "regions; the first poll brings one change",
    quantities=(Quantity("ready_ms", "ms"), Quantity("core_ms", "ms"), Quantity("known_kb", "KB"),
                Quantity("poll_kb", "KB", fitted=False), Quantity("peak_mb", "MB")),
    minutes=2.0,
)  # fmt: skip
def members(size: float, run: Run) -> Measured:
    (one,), poll = _started(1, int(size), run)
    if one.faults():
        raise MeasurementError(f"the gateway's log tells of faults: {one.faults()[:2]}")
    return {
        "ready_ms": one.ready_ms,
        "core_ms": one.core_s * 1e3,
        "known_kb": one.known_kb,
        "poll_kb": poll / 1e3,
        "peak_mb": one.peak_kb / 1e3,
    }


@measurement(
    name="starts.together", role="start", x="gateways", sizes=(1, 4, 8, 12), tiny=(1, 2, 3, 4), minutes=2.0,
    title="The same of so many gateways of a site at once, on the cores of this machine, 1,500 members: the "
    "slowest one's time, the mean processor time of one",
    quantities=(Quantity("slowest_ms", "ms"), Quantity("core_ms", "ms")),
)  # fmt: skip
def together(size: float, run: Run) -> Measured:
    made, _ = _started(int(size), 8 if run.tiny else 1_500, run)
    faults = [line for one in made for line in one.faults()]
    if faults or len({one.port for one in made}) != int(size):
        raise MeasurementError(f"ports {[one.port for one in made]}, faults {faults[:2]}")
    return {
        "slowest_ms": max(one.ready_ms for one in made),
        "core_ms": sum(one.core_s for one in made) / len(made) * 1e3,
    }
