"""Cost of starting a gateway with a list of the operators' size in its configuration.

Its change log has one change more than `known`; the first poll returns it, and the port opens after that.
"""

import time

from hallproxy.lab.capacity import fleet, process
from hallproxy.lab.capacity.registry import Measured, MeasurementError, Quantity, Run, measurement

SECOND_POLL_TIMEOUT = 10.0  # s from the open port to a poll that confirms the first page


def _start_gateways(count: int, members: int, run: Run) -> tuple[list[process.Gateway], float]:
    """Start gateways at once, wait until all are ready and have polled twice; bytes of the first answer."""
    listed = fleet.endpoint_lines(members, run.random, address="127.0.0.1:9")
    drained_cache = next(line for line in listed if line["machineType"] == "std")
    events = [fleet.full_list(listed), fleet.list_change(drained_cache, lifecycle="Terminating")]
    known = fleet.page(events[:1])
    gateways: list[process.Gateway] = []
    with process.standins(lambda _: fleet.page(events)) as (standins, _):
        try:
            for n in range(count):
                where = run.scratch_dir / str(n)
                where.mkdir()
                gateways.append(process.Gateway(where, f"n{n}", known, standins.log, fleet.settings_json()))
            end = time.perf_counter() + process.READY_TIMEOUT
            while waiting := [gateway for gateway in gateways if not gateway.port]:
                for gateway in waiting:
                    gateway.listen(0.002)
                if time.perf_counter() > end:
                    raise MeasurementError(f"{len(waiting)} of {count} gateways are not listening")
            for gateway in gateways:
                gateway.ready()
                gateway.core_s, gateway.peak_kb = gateway.processor_s(), gateway.memory_kb("VmHWM")
            end = time.perf_counter() + SECOND_POLL_TIMEOUT
            while standins.counts.heard < 2:
                if time.perf_counter() > end:
                    raise MeasurementError(
                        f"{SECOND_POLL_TIMEOUT:g} s after the start no poll has the last change's number"
                    )
                time.sleep(0.01)
            return gateways, standins.counts.first_poll_bytes
        finally:
            for gateway in gateways:
                gateway.kill()


@measurement(
    name="starts.members", role="start", x="members", sizes=(150, 500, 1500, 5000), tiny=(4, 8, 16, 32),
    title="From exec to the open port of one gateway, and what it used by then, by members in 51 zones of 17 "
    "regions; the first poll brings one change",
    quantities=(Quantity("ready_ms", "ms"), Quantity("core_ms", "ms"), Quantity("known_kb", "KB"),
                Quantity("poll_kb", "KB", fitted=False), Quantity("peak_mb", "MB")),
    minutes=2.0,
)  # fmt: skip
def members(size: float, run: Run) -> Measured:
    (gateway,), poll_bytes = _start_gateways(1, int(size), run)
    if gateway.faults():
        raise MeasurementError(f"the gateway logged faults: {gateway.faults()[:2]}")
    return {
        "ready_ms": gateway.ready_ms,
        "core_ms": gateway.core_s * 1e3,
        "known_kb": gateway.known_kb,
        "poll_kb": poll_bytes / 1e3,
        "peak_mb": gateway.peak_kb / 1e3,
    }


@measurement(
    name="starts.together", role="start", x="gateways", sizes=(1, 4, 8, 12), tiny=(1, 2, 3, 4), minutes=2.0,
    title="The same of so many gateways of a site at once, on the cores of this machine, 1,500 members: the "
    "slowest one's time, the mean processor time of one",
    quantities=(Quantity("slowest_ms", "ms"), Quantity("core_ms", "ms")),
)  # fmt: skip
def together(size: float, run: Run) -> Measured:
    gateways, _ = _start_gateways(int(size), 8 if run.tiny else 1_500, run)
    faults = [line for gateway in gateways for line in gateway.faults()]
    if faults or len({gateway.port for gateway in gateways}) != int(size):
        raise MeasurementError(f"ports {[gateway.port for gateway in gateways]}, faults {faults[:2]}")
    return {
        "slowest_ms": max(gateway.ready_ms for gateway in gateways),
        "core_ms": sum(gateway.core_s for gateway in gateways) / len(gateways) * 1e3,
    }
