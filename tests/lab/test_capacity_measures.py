"""The tools of the capacity measurements: lists of any size, the stand-ins, the client's counts."""

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
from hallproxy.lab.capacity.client import Client, ResponseCounts
from hallproxy.lab.capacity.registry import MeasurementError, Run
from hallproxy.run.limits import RESERVED_DESCRIPTORS
from hallproxy.state.purges import MAX_PURGES, PurgeTable
from hallproxy.wire import frames
from hallproxy.wire.changelog import ChangeLogError, decode_endpoint
from tests.support.gateway import Listener


def tiny(scratch_dir: Path, seed: int = 7) -> Run:
    return Run(seed, True, random.Random(seed), scratch_dir)


@pytest.mark.parametrize("members", [150, 1500, 5000])
def test_the_list_fills_51_zones_and_17_regions(members: int) -> None:
    settings = fleet.settings()
    assert len(set(settings.zone_hub)) == 17 and len(settings.zone_hub) == 51
    assert sum(settings.gateways_by_zone) == settings.gateway_count == 7_100
    assert max(settings.gateways_by_zone) - min(settings.gateways_by_zone) == 1
    decoded = [decode_endpoint(line, settings) for line in fleet.endpoint_lines(members, random.Random(1))]
    kinds = Counter(member.kind for member, _ in decoded)
    assert kinds == {
        0: members - 1 - fleet.default_parent_count(members),
        1: fleet.default_parent_count(members),
        2: 1,
    }
    assert {m.zone for m, _ in decoded if m.kind == 0} == set(range(51))
    assert {m.zone for m, _ in decoded if m.kind == 1} == set(settings.zone_hub)
    spread = Counter(m.zone for m, _ in decoded if m.kind == 0)
    assert max(spread.values()) - min(spread.values()) <= 1
    assert len({m.id for m, _ in decoded}) == len({address for _, address in decoded}) == members
    assert all(m.state is EndpointState.READY and not m.started_at for m, _ in decoded)


def test_the_list_is_the_same_for_one_seed_and_differs_for_another() -> None:
    assert fleet.endpoint_lines(40, random.Random(1)) == fleet.endpoint_lines(40, random.Random(1))
    assert fleet.endpoint_lines(40, random.Random(1)) != fleet.endpoint_lines(40, random.Random(2))


@pytest.mark.parametrize("zones, hubs", [(3, 1), (12, 4), (24, 8), (51, 17)])
def test_a_region_has_three_zones(zones: int, hubs: int) -> None:
    assert fleet.hub_zones(zones) == [3 * n for n in range(hubs)]
    assert Counter(fleet.settings(zones).zone_hub) == dict.fromkeys(fleet.hub_zones(zones), 3)


@pytest.mark.parametrize("members, parents", [(1, 0), (4, 3), (4, -1)])
def test_a_list_without_a_cache_is_rejected(members: int, parents: int) -> None:
    with pytest.raises(ValueError, match="parents"):
        fleet.endpoint_lines(members, random.Random(1), parents=parents)


def test_pages_are_numbered_and_a_gap_is_not_applied() -> None:
    listed = fleet.endpoint_lines(8, random.Random(1))
    gateway = lists.Gateway(1)
    gateway.process_page(json.dumps(fleet.page([fleet.full_list(listed)])).encode())
    drains = fleet.list_change(listed[0], lifecycle="Terminating")
    with pytest.raises(ChangeLogError, match="gap"):
        gateway.process_page(json.dumps(fleet.page([drains], 3)).encode())
    assert gateway.ready() == 8
    gateway.process_page(json.dumps(fleet.page([drains, fleet.purge(5, 1)], 3)).encode())
    assert (gateway.ready(), gateway.last_seq, list(gateway.state.purges.objects)) == (7, 3, [5])


def test_a_decision_without_an_attempt_fails_the_measurement() -> None:
    decider = decisions.Decider(fleet.settings(3), (), 1)
    with pytest.raises(MeasurementError, match="no attempt"):
        decider.decide(1)


def test_expired_purges_leave_no_floor(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """At the operators' rate a purge stays for 27 s: 6 s until it is done, 1 s, twice the 10 s deadline."""
    expected = 27 * purges.RATE + 1
    for count in (MAX_PURGES, MAX_PURGES + 1, 20_000):
        got = purges.held(count, tiny(tmp_path))
        assert (got["held"], got["floor_reached"], got["floor_age_s"]) == (expected, 0.0, None)
    monkeypatch.setattr(PurgeTable, "expire", lambda *_: None)
    with pytest.raises(MeasurementError, match="are held"):
        purges.held(MAX_PURGES, tiny(tmp_path))


def test_the_purge_floor_appears_once_the_table_is_full(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """If a purge is done everywhere only after a minute, the table is full before any expires."""
    slow = replace(fleet.settings(), purge_duration=60 * fleet.SECOND)
    monkeypatch.setattr(fleet, "settings", lambda: slow)
    at_limit = purges.held(MAX_PURGES, tiny(tmp_path))
    assert (at_limit["held"], at_limit["floor_reached"], at_limit["floor_age_s"]) == (MAX_PURGES, 0.0, None)
    above_limit = purges.held(MAX_PURGES + 1, tiny(tmp_path))
    assert (above_limit["held"], above_limit["floor_reached"]) == (MAX_PURGES, 1.0)
    assert above_limit["floor_age_s"] == pytest.approx(MAX_PURGES / purges.RATE, abs=1e-6)
    monkeypatch.setattr(
        purges, "MAX_PURGES", 20
    )  # the measurement now expects a lower limit than the table's
    with pytest.raises(MeasurementError):
        purges.held(40, tiny(tmp_path))


def test_counted_objects_never_exceed_the_module_s_limit(tmp_path: Path) -> None:
    assert decisions.objects(COUNTS_MAX, tiny(tmp_path))["counted"] == COUNTS_MAX
    counted = decisions.objects(COUNTS_MAX + 1_000, tiny(tmp_path))["counted"]
    assert counted is not None and counted <= COUNTS_MAX


@pytest.mark.timing("compares processor times")
def test_processor_time_is_that_of_the_given_process() -> None:
    before, own = process.processor_s(os.getpid()), time.process_time()
    while time.process_time() < own + 0.05:
        pass
    assert process.processor_s(os.getpid()) - before >= 0.05
    with pytest.raises(MeasurementError, match="no processor time"):
        process.processor_s(2**22 + 1)  # above the highest possible process id


def test_the_client_counts_what_is_short_wrong_or_missing() -> None:
    ResponseCounts(2, 2, 20, 0).check(2, 10)
    for wrong in (
        ResponseCounts(1, 1, 10, 0),
        ResponseCounts(2, 1, 10, 0),
        ResponseCounts(2, 2, 19, 0),
        ResponseCounts(2, 2, 20, 1),
    ):
        with pytest.raises(MeasurementError):
            wrong.check(2, 10)


class FakeGateway(asyncio.Protocol):
    """Responds to each frame with `answer` of its stream, in two writes."""

    def __init__(self, answer: Callable[[int], bytes]) -> None:
        self._answer = answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        while data:
            header = frames.decode_header(data)
            assert header is not None and header.size <= len(data), "the client writes complete frames"
            response = self._answer(header.stream)
            self._transport.write(response[:7])
            asyncio.get_running_loop().call_soon(self._transport.write, response[7:])
            data = data[header.size :]


@pytest.mark.parametrize(
    "code, body, counted",
    [
        (frames.SERVED, process.object_body(5, 100), ResponseCounts(3, 3, 300, 0)),
        (frames.SERVED, process.object_body(6, 100), ResponseCounts(3, 3, 300, 3)),
        (frames.SERVED, process.object_body(5, 99), ResponseCounts(3, 3, 297, 3)),
        (frames.REJECTED, b"", ResponseCounts(3, 0, 0, 0)),
    ],
)
def test_the_client_checks_every_response(code: int, body: bytes, counted: ResponseCounts) -> None:
    def answer(stream: int) -> bytes:
        return b"".join(frames.encode_frame(frames.RESPONSE, stream, bytes((code, 0)), body))

    async def ask() -> ResponseCounts:
        running = asyncio.get_running_loop()
        server = await running.create_server(lambda: FakeGateway(answer), "127.0.0.1", 0)
        client = Client(server.sockets[0].getsockname()[1], 100, 2)
        await client.open()
        await client.closed_loop([5, 5, 5], 2)
        client.close()
        server.close()
        return client.counts

    assert asyncio.run(ask()) == counted


def test_a_store_s_body_depends_on_its_object() -> None:
    assert process.object_body(1, 20) == (b"\0" * 7 + b"\1") * 2 + b"\0" * 4
    assert len(process.object_body(9, 239_616)) == 239_616 and process.object_body(
        9, 8
    ) != process.object_body(10, 8)


@pytest.mark.parametrize("links", [8, 16, 64, 256])
def test_the_socket_limit_leaves_the_given_number_for_stores(links: int) -> None:
    sockets = stores.sockets_for(links)
    assert sockets - sockets * 2 // 5 - RESERVED_DESCRIPTORS == links


def test_a_request_through_a_real_gateway_reaches_the_store_once(tmp_path: Path) -> None:
    def page(address: str) -> fleet.Json:
        return fleet.page([fleet.full_list(process.small_list(address))])

    async def ask(port: int) -> ResponseCounts:
        client = Client(port, 1_000)
        await client.open()
        await client.closed_loop(range(1, 21), serving.AT_ONCE)
        client.close()
        return client.counts

    with (
        process.standins(page, 1_000) as (standins, known),
        process.gateway(tmp_path, known, standins.log, process.one_zone_settings()) as made,
    ):
        asyncio.run(ask(made.port)).check(20, 1_000)
        assert standins.counts.asked == 20 and standins.counts.polls >= 1
        assert made.processor_s() > 0 and made.memory_kb("VmHWM") >= made.memory_kb()
    assert made.process.returncode is not None and not Path(f"/proc/{made.pid}").exists()


def test_a_gateway_that_can_t_start_fails_the_measurement(tmp_path: Path) -> None:
    with (
        pytest.raises(MeasurementError, match="the gateway ended"),
        process.gateway(tmp_path, {"seq": 0, "results": []}, "nowhere", process.one_zone_settings()),
    ):
        pass


REJECTED = b"HTTP/1.1 503 X\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nno"
SERVED = b"HTTP/1.1 200 X\r\nContent-Length: 3\r\n\r\nyes"


@pytest.mark.parametrize(
    "answers, wrong",
    [
        ([REJECTED, SERVED], ""),
        ([REJECTED.replace(b"Retry-After: 1", b"X-Other: 1"), SERVED], "503"),
        ([REJECTED.replace(b"503", b"404"), SERVED], "404"),
        ([b""], "ended"),
    ],
)
def test_only_a_rejection_with_retry_after_is_retried(answers: list[bytes], wrong: str) -> None:
    def serve(connection: socket.socket) -> None:
        for answer in answers:
            connection.recv(4096)
            connection.sendall(answer)

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
    index = json.loads(second.index_of("p", {"p-1.whl": b"x"}))
    assert index["name"] == "p" and [file["size"] for file in index["files"]] == [1]
    assert len(index["files"][0]["hashes"]["sha256"]) == 64
