"""Replication of the change log, without sockets or clocks."""

from __future__ import annotations

import json
import zlib
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hallproxy.feed import GROUP_COUNT, MS, SECOND, FeedError, GapError
from hallproxy.feed.change_log import ChangeLog, ChangeLogLimits, PageKind
from hallproxy.feed.confirmation import ConfirmationTracker
from hallproxy.feed.event_ring import EventRing, is_snapshot
from hallproxy.feed.freshness import Freshness, via_names
from hallproxy.feed.pages import Page, PageCache, build_page

Event = dict[str, Any]


def endpoint(name: str, lifecycle: str = "Ready", **more: Any) -> Event:
    return {"instanceId": name, "hostPort": "127.0.0.1:1", "lifecycle": lifecycle, **more}


def list_update(*lines: Event, reset: bool = False, generation: int = 1) -> Event:
    return {"fleet": {"generation": generation, "reset": reset, "instances": list(lines)}}


def purge(obj: int, time: int = 1_000, group: int = 0) -> Event:
    return {"invalidate": {"object": f"{obj:016x}", "bucket": group, "time": time}}


def numbered(events: list[Event], after: int = 0) -> list[Event]:
    return [{"seq": after + n, **event} for n, event in enumerate(events, 1)]


def upstream_page(events: list[Event], after: int = 0, seq: int | None = None) -> Event:
    return {"seq": after + len(events) if seq is None else seq, "results": numbered(events, after)}


def decode_page(page: Page) -> Event:
    gzipped = b"Content-Encoding: gzip\r\n" in page.head(0, b"", False)
    decoded: Event = json.loads(zlib.decompress(page.body, 31) if gzipped else page.body)
    return decoded


def replay(events: list[Event]) -> tuple[dict[str, Event], int]:
    """The endpoint list after applying the events one by one, and its generation."""
    endpoints: dict[str, Event] = {}
    generation = 0
    for event in events:
        update = event.get("fleet")
        if update is None:
            continue
        generation = update["generation"]
        if update["reset"]:
            endpoints = {}
        for entry in update["instances"]:
            endpoints.pop(entry["instanceId"], None)
            if entry["lifecycle"] != "Gone":
                endpoints[entry["instanceId"]] = entry
    return endpoints, generation


STATES = st.sampled_from(["Ready", "Terminating", "Gone"])
ENDPOINTS = st.builds(endpoint, st.sampled_from("abcdef"), STATES, weight=st.integers(1, 9))
LIST_UPDATES = st.builds(
    lambda lines, reset, generation: list_update(*lines, reset=reset, generation=generation),
    st.lists(ENDPOINTS, max_size=4), st.booleans(), st.integers(0, 99),
)  # fmt: skip
EVENTS = st.one_of(LIST_UPDATES, st.builds(purge, st.integers(1, 99), st.integers(0, 10**6)))
EVENT_LISTS = st.lists(EVENTS, max_size=40)


@given(EVENT_LISTS, st.lists(st.integers(1, 7), max_size=40), st.integers(1, 30))
def test_the_endpoint_list_equals_a_replay_of_all_events(
    events: list[Event], sizes: list[int], max_events: int
) -> None:
    ring = EventRing(max_events=max_events)
    applied = 0
    while applied < len(events):
        size = sizes.pop() if sizes else 5
        ring.apply(numbered(events[applied : applied + size], applied))
        applied += size
    endpoints, generation = replay(events)
    assert ring.endpoints == endpoints and ring.generation == generation
    assert ring.latest_purge == max([0, *(e["invalidate"]["time"] for e in events if "invalidate" in e)])
    assert ring.last_number == len(events) and len(ring.events) == min(max_events, len(events))
    ring_events = [json.loads(event) for event in ring.events]
    assert ring_events == numbered(events)[ring.first_number - 1 :]


@given(EVENT_LISTS, st.integers(0, 40), st.integers(1, 9), st.booleans())
def test_pages_of_any_size_contain_all_events_in_order(
    events: list[Event], since: int, max_page_events: int, accept_gzip: bool
) -> None:
    log = ChangeLog(ChangeLogLimits(max_page_events=max_page_events))
    log.apply(upstream_page(events), 0)
    log.publish()
    since = min(since, len(events))
    received: list[Event] = []
    while log.page_kind(since, log.incarnation, False) is PageKind.EVENTS:
        page = decode_page(log.events_page(since, accept_gzip, False))
        assert 0 < len(page["results"]) <= max_page_events and page["seq"] == len(events)
        assert [e["seq"] for e in page["results"]] == list(range(since + 1, since + 1 + len(page["results"])))
        received += page["results"]
        since += len(page["results"])
    assert received == numbered(events)[len(events) - len(received) :] and since == len(events)


@given(
    EVENT_LISTS.map(lambda found: [list_update(endpoint("z"), reset=True), *found]),
    st.integers(0, 5),
    st.booleans(),
)
def test_a_snapshot_page_replaces_all_events(events: list[Event], max_events: int, accept_gzip: bool) -> None:
    log = ChangeLog(ChangeLogLimits(max_events=max_events))
    log.apply(upstream_page(events), 0)
    log.publish()
    page = decode_page(log.snapshot_page(accept_gzip, False))
    results = page["results"]
    assert is_snapshot(results)
    assert [e["seq"] for e in results] == list(range(len(events) - GROUP_COUNT, len(events) + 1))
    endpoints, generation = replay(events)
    assert replay(results) == (endpoints, generation)
    assert {e["invalidate"]["bucket"] for e in results[1:]} == set(range(GROUP_COUNT))
    assert {e["invalidate"]["time"] for e in results[1:]} == {log.ring.latest_purge}
    assert not any(e["invalidate"]["object"] for e in results[1:])
    # A log that applies it continues from its last number, whatever its own was.
    lower = ChangeLog(ChangeLogLimits())
    lower.apply(upstream_page([purge(1)] * 700), 0)
    lower.apply(page, 1)
    assert lower.poll_from == lower.published == len(events) and lower.ring.endpoints == endpoints


@given(EVENT_LISTS, st.integers(1, 39), st.integers(1, 5))
def test_a_gap_is_never_skipped(events: list[Event], start: int, missing: int) -> None:
    ring = EventRing()
    all_events = numbered(events)
    with_gap = all_events[:start] + all_events[start + missing :]
    if start + missing >= len(all_events):
        ring.apply(with_gap)
        assert ring.last_number == len(with_gap)
        return
    with pytest.raises(GapError):
        ring.apply(with_gap)
    assert (ring.last_number, ring.events, ring.endpoints, ring.has_endpoint_list) == (0, [], {}, False)
    # Where the log has no events that fill the gap, the ring has only those after it.
    ring.apply(with_gap, allow_gaps=True)
    assert ring.last_number == len(all_events) and ring.first_number == start + missing + 1
    assert ring.endpoints == replay(with_gap)[0]


def test_events_in_any_order_and_repeated_are_the_same_events() -> None:
    ring = EventRing()
    events = numbered([purge(n) for n in range(1, 6)])
    ring.apply(events[:2])
    ring.apply([*events[::-1], events[3]])
    assert [json.loads(e)["seq"] for e in ring.events] == [1, 2, 3, 4, 5]


@pytest.mark.parametrize(
    "bad",
    [
        {"results": [{"seq": 1, "fleet": {"instances": [{"instanceId": "a"}]}}]},
        {"results": [{"seq": 1, "fleet": {"generation": "x", "instances": []}}]},
        {"results": [{"seq": 1, "fleet": 5}]},
        {"results": [{"seq": 1, "invalidate": {"object": "1"}}]},
        {"results": [{"seq": 1, "invalidate": {"time": "then"}}]},
        {"results": [{"seq": "one"}]},
        {"results": [{"purge": 1}]},
        {"results": [1, 2]},
        {"results": {"seq": 1}},
        {"seq": "x", "results": []},
        {"seq": -1, "results": []},
        {"seq": 1},
        {"results": [{"seq": 1, "invalidate": {"time": 1}, "more": 1 << 70}]},
        {"results": [{"seq": 1, "invalidate": {"time": 1.5}}]},
        {"results": [{"seq": 1, "invalidate": {"time": True}}]},
        {"results": [{"seq": 1, "invalidate": {"time": -1}}]},
        {"results": [{"seq": 1, "invalidate": {"time": 10**15}}]},
        {"results": [{"seq": 1, "invalidate": {"time": 1, "object": "0x1"}}]},
        {"results": [{"seq": 1, "invalidate": {"time": 1, "object": 7}}]},
        {"results": [{"seq": 1, "invalidate": {"time": 1, "object": "1" * 33}}]},
        {"results": [{"seq": 1, "invalidate": {"time": 1, "bucket": 256}}]},
        {"results": [{"seq": 1, "invalidate": {"time": 1, "object": "", "bucket": "4"}}]},
        {"results": [{"seq": 1, "invalidate": {}}]},
        {"results": [{"seq": 1.0, "invalidate": {"time": 1}}]},
        {"results": [{"seq": 1, "fleet": {"instances": [{"instanceId": 1, "lifecycle": "Ready"}]}}]},
        {"results": [{"seq": 1, "fleet": {"instances": [None]}}]},
    ],
)
def test_a_page_that_cannot_be_read_changes_nothing(bad: Any) -> None:
    log, first_number = ChangeLog(ChangeLogLimits()), 1
    valid = [{"seq": 0, **purge(9, 10**9)}, {"seq": 1, **list_update(endpoint("a"), reset=True)}]
    with pytest.raises(FeedError):
        if isinstance(bad.get("results"), list) and bad["results"] and isinstance(bad["results"][0], dict):
            # After events that are valid.
            last = bad["results"][0]
            bad = {"results": [valid[1], {**last, "seq": 2} if last.get("seq") is first_number else last]}
        log.apply(bad, 0)
    assert (log.ring.last_number, log.ring.events, log.ring.endpoints, log.ring.latest_purge) == (
        0,
        [],
        {},
        0,
    )
    assert log.poll_from == 0 and log.publish_at() is None


def test_an_endpoint_list_over_its_limit_is_rejected_completely() -> None:
    ring = EventRing(max_endpoints=3)
    ring.apply(numbered([list_update(*(endpoint(n) for n in "abc"), reset=True)]))
    with pytest.raises(FeedError, match="more than 3 endpoints"):
        ring.apply(numbered([purge(1), list_update(endpoint("d"))], 1))
    assert ring.last_number == 1 and sorted(ring.endpoints) == ["a", "b", "c"]
    ring.apply(numbered([list_update(endpoint("a", "Gone"), endpoint("d"))], 1))
    assert sorted(ring.endpoints) == ["b", "c", "d"]


def test_events_are_gathered_and_a_list_change_is_published_at_once() -> None:
    log = ChangeLog(ChangeLogLimits(gather_delay=250 * MS))
    log.apply(upstream_page([purge(1)]), 100 * MS)
    assert (
        log.publish_at() == 350 * MS
        and log.published == 0
        and log.page_kind(0, 0, False) is PageKind.UP_TO_DATE
    )
    log.apply(upstream_page([purge(2)], 1), 300 * MS)
    assert log.publish_at() == 350 * MS  # counted from the first unpublished event
    # A poll that does not wait gets gathered events as well; its number is then ahead of those published.
    assert log.page_kind(0, 0, True) is PageKind.EVENTS
    assert [e["seq"] for e in decode_page(log.events_page(0, False, True))["results"]] == [1, 2]
    assert log.page_kind(2, 0, False) is PageKind.UP_TO_DATE and decode_page(log.empty_page(2)) == {
        "seq": 2,
        "results": [],
    }
    log.apply(upstream_page([list_update(endpoint("a"), reset=True)], 2), 310 * MS)
    assert log.published == 3 and log.publish_at() is None and log.page_kind(2, 0, False) is PageKind.EVENTS
    assert [e["seq"] for e in decode_page(log.events_page(0, False, False))["results"]] == [1, 2, 3]


def test_a_backlog_is_published_once_it_is_complete() -> None:
    log = ChangeLog(ChangeLogLimits(gather_delay=0))
    log.apply(upstream_page([purge(1)] * 3, seq=5), 0)
    assert (
        not log.caught_up and log.publish_at() is None and log.page_kind(0, 0, False) is PageKind.UP_TO_DATE
    )
    log.apply(upstream_page([purge(2)] * 2, 3), 1)
    assert log.caught_up and log.publish_at() is not None


def log_with_purges(count: int, **limits: int) -> ChangeLog:
    """A log with an endpoint list and ``count`` purges after it."""
    log = ChangeLog(ChangeLogLimits(**limits))
    log.apply(upstream_page([list_update(endpoint("a"), reset=True), *(purge(n) for n in range(count))]), 0)
    log.publish()
    return log


def test_a_poll_from_below_the_ring_or_above_the_last_number_gets_a_snapshot() -> None:
    log = log_with_purges(20, max_events=10)  # the numbers 12 to 21
    assert log.page_kind(10, 0, False) is PageKind.SNAPSHOT
    assert log.page_kind(11, 0, False) is PageKind.EVENTS
    assert log.page_kind(21, 0, False) is PageKind.UP_TO_DATE
    # Another relay may be a little ahead, but not far.
    assert (
        log.page_kind(22, 0, True)
        is log.page_kind(22, 0, False)
        is log.page_kind(21 + 4096, 0, False)
        is PageKind.AHEAD
    )
    assert log.page_kind(22 + 4096, 0, False) is PageKind.SNAPSHOT


def test_pages_and_the_ring_are_limited_in_bytes() -> None:
    """Guards against pages of over 16 MB, which followers reject and poll again for ever."""
    endpoints = [endpoint(f"m-{n}", note="x" * 100) for n in range(4_000)]  # 660 KB
    log = ChangeLog(ChangeLogLimits())
    for n in range(160):
        log.apply(upstream_page([list_update(*endpoints, reset=True)], n), 0)
    assert log.ring.event_bytes == sum(map(len, log.ring.events)) <= 64 * 2**20
    assert log.ring.last_number == 160 and 60 < len(log.ring.events) < 160
    since = log.ring.first_number - 1
    while since < 160:
        page = log.events_page(since, False, False)
        assert page.event_count >= 1 and len(page.body) < 9 * 2**20
        assert decode_page(page)["results"][0]["seq"] == since + 1
        since += page.event_count
    ring = EventRing()
    ring.apply(numbered([list_update(*endpoints, reset=True)] * 2))
    assert len(ring.events_after(0, 2, 1)) == 1


def test_without_an_endpoint_list_there_is_no_snapshot_page() -> None:
    """Guards against a snapshot that clears the receiver's endpoint list."""
    log = ChangeLog(ChangeLogLimits(max_events=2))
    assert log.page_kind(5, 0, False) is PageKind.UNKNOWN and decode_page(log.empty_page(5, False)) == {
        "seq": 0,
        "results": [],
    }
    log.apply(upstream_page([purge(1)] * 5), 0)
    log.publish()
    assert log.page_kind(1, 0, False) is PageKind.UNAVAILABLE
    log.apply({"seq": 0, "results": []}, 1)
    log.apply({"seq": 0, "results": []}, 2)  # a new incarnation without events
    assert (
        log.incarnation == 1 and log.page_kind(3, 0, False) is log.page_kind(3, -1, True) is PageKind.UNKNOWN
    )
    log.apply(upstream_page([purge(1)] * 4), 3)
    log.publish()
    assert log.page_kind(3, 0, False) is PageKind.UNKNOWN and log.page_kind(3, 1, False) is PageKind.EVENTS
    log.apply(upstream_page([list_update(endpoint("a"), reset=True)], 4), 4)
    assert log.page_kind(3, 0, False) is PageKind.SNAPSHOT


def test_a_log_that_goes_back_is_polled_from_0_and_former_numbers_are_ambiguous() -> None:
    log = log_with_purges(8)
    log.apply(upstream_page([purge(9, 1_500)], 9), 0)  # 10 events
    log.publish()
    assert log.apply({"seq": 2, "results": []}, 1) == 0
    assert log.poll_from == 0 and not log.caught_up and log.ring.last_number == 10
    log.apply(upstream_page([list_update(endpoint("b"), reset=True), purge(7)]), 2)
    assert (log.incarnation, log.former_last, log.ring.last_number, log.published) == (1, 10, 2, 2)
    assert log.ring.latest_purge == 1_500  # of the former incarnation: a follower may lack it
    # The numbers of a connection from the former incarnation, and of a new one, may be of that incarnation.
    assert (
        log.page_kind(1, 0, False) is PageKind.SNAPSHOT and log.page_kind(1, -1, False) is PageKind.SNAPSHOT
    )
    assert log.page_kind(1, 1, False) is PageKind.EVENTS and log.page_kind(2, 1, False) is PageKind.UP_TO_DATE
    log.apply(upstream_page([purge(n) for n in range(8)], 2), 3)
    log.publish()
    assert log.ring.last_number == 10 and log.ambiguous and log.page_kind(9, -1, False) is PageKind.SNAPSHOT
    log.apply(upstream_page([purge(1)], 10), 4)
    log.publish()
    assert not log.ambiguous and log.page_kind(9, -1, False) is PageKind.EVENTS
    assert log.page_kind(9, 0, False) is PageKind.SNAPSHOT  # its number is still of the former incarnation


def test_a_new_incarnation_in_several_pages_is_published_once_it_is_complete() -> None:
    log = log_with_purges(9)
    log.apply({"seq": 4, "results": []}, 1)
    log.apply(upstream_page([list_update(endpoint("b"), reset=True), purge(1)], seq=4), 2)
    assert log.incarnation == 0 and log.poll_from == 2 and list(log.ring.endpoints) == ["a"]
    log.apply(upstream_page([purge(1)] * 2, 2), 2)
    assert log.incarnation == 1 and log.poll_from == 4 and list(log.ring.endpoints) == ["b"]


def test_a_persistent_gap_causes_a_poll_from_0() -> None:
    log = log_with_purges(2)
    page_with_gap: Event = {"seq": 9, "results": numbered([purge(1)] * 2, 7)}
    for poll_from in (3, 0):
        with pytest.raises(GapError):
            log.apply(page_with_gap, 1)
        assert log.poll_from == poll_from and log.ring.last_number == 3
    remaining: list[Event] = [{"seq": 4, **list_update(endpoint("b"), reset=True)}]
    compacted = {"seq": 9, "results": remaining + page_with_gap["results"]}
    with pytest.raises(GapError):
        log.apply(compacted, 2)
    log.apply(compacted, 3)  # the second page with the same gap is applied
    assert (log.incarnation, log.poll_from, log.ring.first_number, log.published) == (0, 9, 8, 9) and list(
        log.ring.endpoints
    ) == ["b"]
    assert log.page_kind(3, 0, False) is PageKind.SNAPSHOT and log.page_kind(7, 0, False) is PageKind.EVENTS


def test_no_follower_continues_from_within_a_snapshot() -> None:
    upper = log_with_purges(600)
    log = log_with_purges(40)
    log.apply(decode_page(upper.snapshot_page(False, False)), 1)
    assert log.poll_from == 601 and log.incarnation == 0
    assert all(log.page_kind(n, 0, False) is PageKind.SNAPSHOT for n in (0, 41, 345, 346, 600))
    assert log.page_kind(601, 0, False) is PageKind.UP_TO_DATE
    log.apply(upstream_page([purge(1)], 601), 2)
    log.publish()
    assert log.page_kind(601, 0, False) is PageKind.EVENTS
    log.apply(decode_page(log_with_purges(30).snapshot_page(False, False)), 3)  # numbers go back
    assert (log.incarnation, log.poll_from, log.former_last) == (1, 31, 602) and log.page_kind(
        31, -1, False
    ) is PageKind.SNAPSHOT


def test_what_only_resembles_a_snapshot_is_not_one() -> None:
    snapshot: list[Event] = json.loads(b"[" + log_with_purges(3).ring.snapshot(4) + b"]")
    assert is_snapshot(snapshot) and is_snapshot(snapshot + [{"seq": 5, **purge(1)}])
    assert not is_snapshot(snapshot[:-1]) and not is_snapshot(snapshot[1:]) and not is_snapshot([])
    assert not is_snapshot(snapshot[:9] + snapshot[10:] + [{"seq": 4, **purge(1)}])
    changed = [dict(e) for e in snapshot]
    changed[5] = {"seq": changed[5]["seq"], **purge(7, group=4)}  # a purge of one object
    assert not is_snapshot(changed)
    changed[0] = {"seq": snapshot[0]["seq"], **list_update(endpoint("a"))}
    assert not is_snapshot(changed)


def test_one_page_is_built_for_all_followers_at_the_same_number() -> None:
    log = log_with_purges(50)
    assert log.events_page(3, True, False) is log.events_page(3, True, False)
    assert log.events_page(3, False, False) is log.events_page(3, False, True)  # all events are published
    assert log.snapshot_page(True, False) is log.snapshot_page(True, False)
    assert log.pages.build_count == 3
    log.apply(upstream_page([purge(1)], 51), 0)
    log.publish()
    assert len(decode_page(log.events_page(3, True, False))["results"]) == 49 and log.pages.build_count == 4


def test_a_page_is_compressed_only_where_that_is_smaller() -> None:
    assert build_page(b"", 5, True, 0).body == b'{"seq":5,"results":[]}'
    long = b",".join(b'{"seq":%d}' % n for n in range(200))
    assert len(build_page(long, 200, True, 200).body) < len(build_page(long, 200, False, 200).body) / 2
    heads = [
        build_page(long, 200, accept_gzip, 200).head(2, b"1.1 top, 1.1 r", True)
        for accept_gzip in (False, True)
    ]
    assert all(b"\r\nAge: 2\r\nVia: 1.1 top, 1.1 r\r\nConnection: close\r\n\r\n" in head for head in heads)
    assert b"gzip" not in heads[0] and b"Content-Encoding: gzip\r\n" in heads[1]
    assert all(b"Vary: Accept-Encoding\r\n" in head for head in heads)


def test_the_page_cache_is_limited() -> None:
    pages = PageCache(max_pages=4, max_bytes=1000)
    for n in range(9):
        pages.get(n, lambda: Page(b"x" * 100, False, 1))
    assert len(pages) == 4 and pages.byte_count == 400
    pages.get("large", lambda: Page(b"x" * 950, False, 1))
    assert len(pages) == 1 and pages.byte_count == 950  # the requested page stays, whatever its size


def test_age_is_counted_from_the_last_poll_of_the_log() -> None:
    freshness = Freshness("r", SECOND)
    assert freshness.is_stale(0) and freshness.via == b"1.1 r"
    freshness.update(10 * SECOND, 0, ())
    assert [freshness.age_seconds(10 * SECOND + n) for n in (0, 1, SECOND, SECOND + 1)] == [0, 1, 1, 2]
    # With an upstream relay, its age is added; staleness depends only on the poll of that relay.
    freshness.update(12 * SECOND, 2 * SECOND, ("top",))
    assert freshness.age_seconds(12 * SECOND + 1) == 3 and freshness.via == b"1.1 top, 1.1 r"
    assert not freshness.is_stale(13 * SECOND) and freshness.is_stale(13 * SECOND + 1)
    freshness.update(11 * SECOND, 0, ("top",))  # received late: it must not make the log older
    assert freshness.age_seconds(12 * SECOND) == 1 and not freshness.is_stale(13 * SECOND)


def test_events_in_a_loop_of_relays_are_rejected() -> None:
    freshness = Freshness("b", SECOND)
    assert via_names("1.1 a, HTTP/1.1 c (made, by b), 1.0 d") == ("a", "c", "d")
    freshness.check_path(via_names("1.1 a, 1.1 c"))
    with pytest.raises(FeedError, match="loop of relays: events arrived via "):
        freshness.check_path(via_names("1.1 a, 1.1 b, 1.1 c"))
    with pytest.raises(FeedError, match="relays"):
        freshness.check_path(tuple(f"r{n}" for n in range(17)))


def test_an_event_is_confirmed_when_all_followers_have_it() -> None:
    tracker = ConfirmationTracker()
    tracker.move_follower(None, 4, 0)
    tracker.move_follower(None, 4, 0)
    tracker.move_follower(None, 2, 0)
    assert (tracker.lowest_confirmed, tracker.follower_count, tracker.followers_by_number) == (
        2,
        3,
        {4: 2, 2: 1},
    )
    tracker.record_arrival(5, 3, 10 * MS)
    tracker.move_follower(4, 5, 20 * MS)
    tracker.move_follower(2, 5, 30 * MS)
    assert (
        tracker.lowest_confirmed == 4
        and tracker.delays_ms() == {"count": 0}
        and tracker.unconfirmed_pages() == 1
    )
    tracker.move_follower(4, 5, 60 * MS)
    delays = tracker.delays_ms()
    assert (
        delays["count"] == 3
        and delays["max"] == pytest.approx(50, rel=0.02)
        and not tracker.unconfirmed_pages()
    )
    tracker.record_arrival(6, 1, 70 * MS)
    for n in range(3):
        assert tracker.follower_count == 3 - n
        tracker.move_follower(5, None, 80 * MS)
    assert (
        tracker.lowest_confirmed is None
        and tracker.followers_by_number == {}
        and not tracker.unconfirmed_pages()
    )
    assert tracker.delays_ms()["count"] == 3


@given(st.lists(st.tuples(st.integers(0, 5), st.one_of(st.none(), st.integers(0, 9))), max_size=60))
def test_the_lowest_confirmed_number_is_that_of_all_followers(moves: list[tuple[int, int | None]]) -> None:
    tracker = ConfirmationTracker()
    numbers: dict[int, int] = {}
    for follower, new in moves:
        if follower in numbers or new is not None:
            tracker.move_follower(numbers.get(follower), new, 0)
        if new is None:
            numbers.pop(follower, None)
        else:
            numbers[follower] = new
        assert tracker.lowest_confirmed == min(
            numbers.values(), default=None
        ) and tracker.follower_count == len(numbers)
        assert sum(tracker.followers_by_number.values()) == len(numbers)
