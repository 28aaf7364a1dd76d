"""What the capacity measurements are made with: the list of any size, the stand-ins, the client's counts."""

from __future__ import annotations

import asyncio
import json
import os
import random
import socket
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import pytest

from hallproxy.decisions.valuation import COUNTS_MAX
from hallproxy.interface import EndpointState
from hallproxy.lab.capacity import decisions, fleet, lists, process, purges, second, serving, stores
from hallproxy.lab.capacity.client import Client, Counted
from hallproxy.lab.capacity.registry import MeasurementError, Run
from hallproxy.run.limits import RESERVED_DESCRIPTORS
from hallproxy.state.purges import MAX_PURGES, PurgeTable
from hallproxy.wire import frames
from hallproxy.wire.changelog import ChangeLogError, decode_endpoint
from tests.support.gateway import Listener


def tiny(where: Path, seed: int = 7) -> Run:
    return Run(seed, True, random.Random(seed), where)


@pytest.mark.parametrize("members", [150, 1500, 5000])
def test_the_list_fills_51_zones_and_17_regions(members: int) -> None:
    settings = fleet.settings()
    assert len(set(settings.zone_hub)) == 17 and len(settings.zone_hub) == 51
    assert sum(settings.gateways_by_zone) == settings.gateway_count == 7_100
    assert max(settings.gateways_by_zone) - min(settings.gateways_by_zone) == 1
    made = [decode_endpoint(line, settings) for line in fleet.lines(members, random.Random(1))]
    kinds = Counter(member.kind for member, _ in made)
    assert kinds == {0: members - 1 - fleet.parents_of(members), 1: fleet.parents_of(members), 2: 1}
    assert {m.zone for m, _ in made if m.kind == 0} == set(range(51))
    assert {m.zone for m, _ in made if m.kind == 1} == set(settings.zone_hub)
    spread = Counter(m.zone for m, _ in made if m.kind == 0)
    assert max(spread.values()) - min(spread.values()) <= 1
    assert len({m.id for m, _ in made}) == len({address for _, address in made}) == members
    assert all(m.state is EndpointState.READY and not m.started_at for m, _ in made)


def test_the_list_is_the_same_for_a_seed_and_another_for_another_one() -> None:
    assert fleet.lines(40, random.Random(1)) == fleet.lines(40, random.Random(1))
    assert fleet.lines(40, random.Random(1)) != fleet.lines(40, random.Random(2))


@pytest.mark.parametrize("zones, hubs", [(3, 1), (12, 4), (24, 8), (51, 17)])
def test_a_region_has_three_zones(zones: int, hubs: int) -> None:
    assert fleet.hubs_of(zones) == [3 * n for n in range(hubs)]
    assert Counter(fleet.settings(zones).zone_hub) == dict.fromkeys(fleet.hubs_of(zones), 3)


@pytest.mark.parametrize("members, parents", [(1, 0), (4, 3), (4, -1)])
def test_a_list_without_room_for_a_cache_is_turned_away(members: int, parents: int) -> None:
    with pytest.raises(ValueError, match="parents"):
        fleet.lines(members, random.Random(1), parents=parents)


def test_pages_are_numbered_and_a_gap_is_not_applied() -> None:
    listed = fleet.lines(8, random.Random(1))
    gateway = lists.Gateway(1)
    gateway.process_page(json.dumps(fleet.page([fleet.whole(listed)])).encode())
    drains = fleet.change(listed[0], lifecycle="Terminating")
    with pytest.raises(ChangeLogError, match="gap"):
        gateway.process_page(json.dumps(fleet.page([drains], 3)).encode())
    assert gateway.ready() == 8
    gateway.process_page(json.dumps(fleet.page([drains, fleet.purge(5, 1)], 3)).encode())
    assert (gateway.ready(), gateway.last_seq, list(gateway.state.purges.objects)) == (7, 3, [5])


def test_a_decision_that_gets_no_attempt_is_no_measurement() -> None:
    decider = decisions.Decider(fleet.settings(3), (), 1)
    with pytest.raises(MeasurementError, match="no attempt"):
        decider.decide(1)


def test_purges_that_are_over_leave_no_floor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """At the operators' rate: 6 s until one is done, a second, twice the deadline of 10 s."""
    kept = 27 * purges.RATE + 1
    for many in (MAX_PURGES, MAX_PURGES + 1, 20_000):
        got = purges.held(many, tiny(tmp_path))
        assert (got["held"], got["floor_reached"], got["floor_age_s"]) == (kept, 0.0, None)
    monkeypatch.setattr(PurgeTable, "expire", lambda *_: None)
    with pytest.raises(MeasurementError, match="are held"):
        purges.held(MAX_PURGES, tiny(tmp_path))


def test_the_purges_floor_shows_where_the_table_is_full(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Where a purge is done everywhere after a minute only, the table fills up before any is over."""
    slow = replace(fleet.settings(), purge_duration=60 * fleet.SECOND)
    monkeypatch.setattr(fleet, "settings", lambda: slow)
    inside = purges.held(MAX_PURGES, tiny(tmp_path))
    assert (inside["held"], inside["floor_reached"], inside["floor_age_s"]) == (MAX_PURGES, 0.0, None)
    over = purges.held(MAX_PURGES + 1, tiny(tmp_path))
    assert (over["held"], over["floor_reached"]) == (MAX_PURGES, 1.0)
    assert over["floor_age_s"] == pytest.approx(MAX_PURGES / purges.RATE, abs=1e-6)
    monkeypatch.setattr(purges, "MAX_PURGES", 20)  # the measurement counts by another bound than the table's
    with pytest.raises(MeasurementError):
        purges.held(40, tiny(tmp_path))


def test_counted_objects_never_pass_the_module_s_bound(tmp_path: Path) -> None:
    assert decisions.objects(COUNTS_MAX, tiny(tmp_path))["counted"] == COUNTS_MAX
    counted = decisions.objects(COUNTS_MAX + 1_000, tiny(tmp_path))["counted"]
    assert counted is not None and counted <= COUNTS_MAX


@pytest.mark.timing("compares processor times")
def test_processor_time_is_that_of_the_process_asked_for() -> None:
    before, own = process.processor_s(os.getpid()), time.process_time()
    while time.process_time() < own + 0.05:
        pass
    assert process.processor_s(os.getpid()) - before >= 0.05
    with pytest.raises(MeasurementError, match="no processor time"):
        process.processor_s(2**22 + 1)  # over the highest id there can be


def test_the_client_counts_what_is_short_wrong_or_missing() -> None:
    Counted(2, 2, 20, 0).check(2, 10)
    for wrong in (Counted(1, 1, 10, 0), Counted(2, 1, 10, 0), Counted(2, 2, 19, 0), Counted(2, 2, 20, 1)):
        with pytest.raises(MeasurementError):
            wrong.check(2, 10)


class Front(asyncio.Protocol):
    """Answers each frame with the same bytes, in two writes."""

    def __init__(self, answer: Callable[[int], bytes]) -> None:
        self._answer = answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        while data:
            frame, size = frames.next_frame(memoryview(data)) or (None, len(data))
            assert frame is not None, "the client writes whole frames"
            said = self._answer(frame.stream)
            self._transport.write(said[:7])
            asyncio.get_running_loop().call_soon(self._transport.write, said[7:])
            data = data[size:]


@pytest.mark.parametrize(
    "code, body, counted",
    [
        (frames.SERVED, process.body_of(5, 100), Counted(3, 3, 300, 0)),
        (frames.SERVED, process.body_of(6, 100), Counted(3, 3, 300, 3)),
        (frames.SERVED, process.body_of(5, 99), Counted(3, 3, 297, 3)),
        (frames.REJECTED, b"", Counted(3, 0, 0, 0)),
    ],
)
def test_the_client_looks_at_every_answer(code: int, body: bytes, counted: Counted) -> None:
    def answer(stream: int) -> bytes:
        return b"".join(frames.encode_frame(frames.RESPONSE, stream, bytes((code, 0)), body))

    async def ask() -> Counted:
        running = asyncio.get_running_loop()
        server = await running.create_server(lambda: Front(answer), "127.0.0.1", 0)
        client = Client(server.sockets[0].getsockname()[1], 100, 2)
        await client.open()
        await client.closed_loop([5, 5, 5], 2)
        client.close()
        server.close()
        return client.counted

    assert asyncio.run(ask()) == counted


def test_a_store_s_body_belongs_to_its_object() -> None:
    assert process.body_of(1, 20) == (b"\0" * 7 + b"\1") * 2 + b"\0" * 4
    assert len(process.body_of(9, 239_616)) == 239_616 and process.body_of(9, 8) != process.body_of(10, 8)


@pytest.mark.parametrize("links", [8, 16, 64, 256])
def test_the_limit_of_sockets_leaves_so_many_for_stores(links: int) -> None:
    sockets = stores.sockets_for(links)
    assert sockets - sockets * 2 // 5 - RESERVED_DESCRIPTORS == links


def test_a_request_through_a_real_gateway_reaches_the_store_once(tmp_path: Path) -> None:
    def page(address: str) -> fleet.Json:
        return fleet.page([fleet.whole(process.few(address))])

    async def ask(port: int) -> Counted:
        client = Client(port, 1_000)
        await client.open()
        await client.closed_loop(range(1, 21), serving.AT_ONCE)
        client.close()
        return client.counted

    with (
        process.standins(page, 1_000) as (standins, known),
        process.gateway(tmp_path, known, standins.log, process.one_zone()) as made,
    ):
        asyncio.run(ask(made.port)).check(20, 1_000)
        assert standins.counts.asked == 20 and standins.counts.polls >= 1
        assert made.processor_s() > 0 and made.memory_kb("VmHWM") >= made.memory_kb()
    assert made.process.returncode is not None and not Path(f"/proc/{made.pid}").exists()


def test_a_gateway_that_can_t_start_is_no_measurement(tmp_path: Path) -> None:
    with (
        pytest.raises(MeasurementError, match="the gateway ended"),
        process.gateway(tmp_path, {"seq": 0, "results": []}, "nowhere", process.one_zone()),
    ):
        pass


AWAY = b"HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno"
GOOD = b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nyes"


@pytest.mark.parametrize(
    "answers, wrong",
    [
        ([AWAY, GOOD], ""),
        ([AWAY.replace(b"Retry-After: 1", b"X-Other: 1"), GOOD], "503"),
        ([AWAY.replace(b"503", b"404"), GOOD], "404"),
        ([b""], "ended"),
    ],
)
def test_only_a_request_that_is_told_when_to_come_back_is_asked_again(
    answers: list[bytes], wrong: str
) -> None:
    def serve(made: socket.socket) -> None:
        for answer in answers:
            made.recv(4096)
            made.sendall(answer)

    listener = Listener(serve)
    client = second.PersistentConnection(int(listener.address.rpartition(":")[2]))
    if wrong:
        with pytest.raises(MeasurementError, match=wrong):
            client.ask("/")
    else:
        assert client.ask("/") == b"yes" and client.rejected == 1
    client.close()
    listener.close()


def test_an_index_lists_its_files_by_digest() -> None:
    said = json.loads(second.index_of("p", {"p-1.whl": b"x"}))
    assert said["name"] == "p" and [file["size"] for file in said["files"]] == [1]
    assert len(said["files"][0]["hashes"]["sha256"]) == 64
