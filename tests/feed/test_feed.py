"""Replication of the change log, without sockets and clocks."""

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


def line(name: str, lifecycle: str = "Ready", **more: Any) -> Event:
    return {"instanceId": name, "hostPort": "127.0.0.1:1", "lifecycle": lifecycle, **more}


def fleet(*lines: Event, reset: bool = False, generation: int = 1) -> Event:
    return {"fleet": {"generation": generation, "reset": reset, "instances": list(lines)}}


def purge(obj: int, time: int = 1_000, group: int = 0) -> Event:
    return {"invalidate": {"object": f"{obj:016x}", "bucket": group, "time": time}}


def numbered(events: list[Event], after: int = 0) -> list[Event]:
    return [{"seq": after + n, **event} for n, event in enumerate(events, 1)]


def answer(events: list[Event], after: int = 0, seq: int | None = None) -> Event:
    return {"seq": after + len(events) if seq is None else seq, "results": numbered(events, after)}


def read(got: Page) -> Event:
    zipped = b"Content-Encoding: gzip\r\n" in got.head(0, b"", False)
    found: Event = json.loads(zlib.decompress(got.body, 31) if zipped else got.body)
    return found


def replay(events: list[Event]) -> tuple[dict[str, Event], int]:
    """The list as a receiver of one event after another has it, and its generation."""
    members: dict[str, Event] = {}
    generation = 0
    for event in events:
        told = event.get("fleet")
        if told is None:
            continue
        generation = told["generation"]
        if told["reset"]:
            members = {}
        for entry in told["instances"]:
            members.pop(entry["instanceId"], None)
            if entry["lifecycle"] != "Gone":
                members[entry["instanceId"]] = entry
    return members, generation


STATES = st.sampled_from(["Ready", "Terminating", "Gone"])
LINES = st.builds(line, st.sampled_from("abcdef"), STATES, weight=st.integers(1, 9))
FLEETS = st.builds(
    lambda lines, reset, generation: fleet(*lines, reset=reset, generation=generation),
    st.lists(LINES, max_size=4), st.booleans(), st.integers(0, 99),
)  # fmt: skip
EVENTS = st.one_of(FLEETS, st.builds(purge, st.integers(1, 99), st.integers(0, 10**6)))
LISTS = st.lists(EVENTS, max_size=40)


@given(LISTS, st.lists(st.integers(1, 7), max_size=40), st.integers(1, 30))
def test_the_endpoint_list_equals_a_replay_of_all_events(
    events: list[Event], sizes: list[int], ring: int
) -> None:
    told = EventRing(max_events=ring)
    at = 0
    while at < len(events):
        size = sizes.pop() if sizes else 5
        told.apply(numbered(events[at : at + size], at))
        at += size
    members, generation = replay(events)
    assert told.endpoints == members and told.generation == generation
    assert told.latest_purge == max([0, *(e["invalidate"]["time"] for e in events if "invalidate" in e)])
    assert told.last_number == len(events) and len(told.events) == min(ring, len(events))
    held = [json.loads(event) for event in told.events]
    assert held == numbered(events)[told.first_number - 1 :]


@given(LISTS, st.integers(0, 40), st.integers(1, 9), st.booleans())
def test_pages_of_any_size_contain_all_events_in_order(
    events: list[Event], since: int, most: int, zipped: bool
) -> None:
    log = ChangeLog(ChangeLogLimits(max_page_events=most))
    log.apply(answer(events), 0)
    log.publish()
    since = min(since, len(events))
    got: list[Event] = []
    while log.page_kind(since, log.incarnation, False) is PageKind.EVENTS:
        told = read(log.events_page(since, zipped, False))
        assert 0 < len(told["results"]) <= most and told["seq"] == len(events)
        assert [e["seq"] for e in told["results"]] == list(range(since + 1, since + 1 + len(told["results"])))
        got += told["results"]
        since += len(told["results"])
    assert got == numbered(events)[len(events) - len(got) :] and since == len(events)


@given(LISTS.map(lambda found: [fleet(line("z"), reset=True), *found]), st.integers(0, 5), st.booleans())
def test_a_snapshot_page_replaces_all_events(events: list[Event], ring: int, zipped: bool) -> None:
    log = ChangeLog(ChangeLogLimits(max_events=ring))
    log.apply(answer(events), 0)
    log.publish()
    told = read(log.snapshot_page(zipped, False))
    results = told["results"]
    assert is_snapshot(results)
    assert [e["seq"] for e in results] == list(range(len(events) - GROUP_COUNT, len(events) + 1))
    members, generation = replay(events)
    assert replay(results) == (members, generation)
    assert {e["invalidate"]["bucket"] for e in results[1:]} == set(range(GROUP_COUNT))
    assert {e["invalidate"]["time"] for e in results[1:]} == {log.ring.latest_purge}
    assert not any(e["invalidate"]["object"] for e in results[1:])
    # Who takes it goes on from its end, whatever it held.
    below = ChangeLog(ChangeLogLimits())
    below.apply(answer([purge(1)] * 700), 0)
    below.apply(told, 1)
    assert below.poll_from == below.published == len(events) and below.ring.endpoints == members


@given(LISTS, st.integers(1, 39), st.integers(1, 5))
def test_a_gap_is_never_skipped(events: list[Event], at: int, missing: int) -> None:
    told = EventRing()
    first = numbered(events)
    broken = first[:at] + first[at + missing :]
    if at + missing >= len(first):
        told.apply(broken)
        assert told.last_number == len(broken)
        return
    with pytest.raises(GapError):
        told.apply(broken)
    assert (told.last_number, told.events, told.endpoints, told.has_endpoint_list) == (0, [], {}, False)
    # Where the log has nothing to fill it with, only what comes behind it is told one by one.
    told.apply(broken, allow_gaps=True)
    assert told.last_number == len(first) and told.first_number == at + missing + 1
    assert told.endpoints == replay(broken)[0]


def test_events_in_any_order_and_repeated_are_the_same_events() -> None:
    told = EventRing()
    events = numbered([purge(n) for n in range(1, 6)])
    told.apply(events[:2])
    told.apply([*events[::-1], events[3]])
    assert [json.loads(e)["seq"] for e in told.events] == [1, 2, 3, 4, 5]


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
    log, one = ChangeLog(ChangeLogLimits()), 1
    good = [{"seq": 0, **purge(9, 10**9)}, {"seq": 1, **fleet(line("a"), reset=True)}]
    with pytest.raises(FeedError):
        if isinstance(bad.get("results"), list) and bad["results"] and isinstance(bad["results"][0], dict):
            # Behind events that could be applied.
            last = bad["results"][0]
            bad = {"results": [good[1], {**last, "seq": 2} if last.get("seq") is one else last]}
        log.apply(bad, 0)
    assert (log.ring.last_number, log.ring.events, log.ring.endpoints, log.ring.latest_purge) == (
        0,
        [],
        {},
        0,
    )
    assert log.poll_from == 0 and log.publish_at() is None


def test_an_endpoint_list_over_its_limit_is_rejected_completely() -> None:
    told = EventRing(max_endpoints=3)
    told.apply(numbered([fleet(*(line(n) for n in "abc"), reset=True)]))
    with pytest.raises(FeedError, match="more than 3 endpoints"):
        told.apply(numbered([purge(1), fleet(line("d"))], 1))
    assert told.last_number == 1 and sorted(told.endpoints) == ["a", "b", "c"]
    told.apply(numbered([fleet(line("a", "Gone"), line("d"))], 1))
    assert sorted(told.endpoints) == ["b", "c", "d"]


def test_events_are_gathered_and_a_list_change_is_published_at_once() -> None:
    log = ChangeLog(ChangeLogLimits(gather_delay=250 * MS))
    log.apply(answer([purge(1)]), 100 * MS)
    assert (
        log.publish_at() == 350 * MS
        and log.published == 0
        and log.page_kind(0, 0, False) is PageKind.UP_TO_DATE
    )
    log.apply(answer([purge(2)], 1), 300 * MS)
    assert log.publish_at() == 350 * MS  # from the first one that waits
    # Who does not wait gets also what has gathered; behind that it holds a number that has not been cut yet.
    assert log.page_kind(0, 0, True) is PageKind.EVENTS
    assert [e["seq"] for e in read(log.events_page(0, False, True))["results"]] == [1, 2]
    assert log.page_kind(2, 0, False) is PageKind.UP_TO_DATE and read(log.empty_page(2)) == {
        "seq": 2,
        "results": [],
    }
    log.apply(answer([fleet(line("a"), reset=True)], 2), 310 * MS)
    assert log.published == 3 and log.publish_at() is None and log.page_kind(2, 0, False) is PageKind.EVENTS
    assert [e["seq"] for e in read(log.events_page(0, False, False))["results"]] == [1, 2, 3]


def test_a_backlog_is_published_once_it_is_complete() -> None:
    log = ChangeLog(ChangeLogLimits(gather_delay=0))
    log.apply(answer([purge(1)] * 3, seq=5), 0)
    assert (
        not log.caught_up and log.publish_at() is None and log.page_kind(0, 0, False) is PageKind.UP_TO_DATE
    )
    log.apply(answer([purge(2)] * 2, 3), 1)
    assert log.caught_up and log.publish_at() is not None


def listed(count: int, **bounds: int) -> ChangeLog:
    """A list and so many purges behind it."""
    log = ChangeLog(ChangeLogLimits(**bounds))
    log.apply(answer([fleet(line("a"), reset=True), *(purge(n) for n in range(count))]), 0)
    log.publish()
    return log


def test_a_poll_from_below_the_ring_or_above_the_last_number_gets_a_snapshot() -> None:
    log = listed(20, max_events=10)  # the numbers 12 to 21
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
    """A page of over 16 MB would be refused, and asked for again for ever."""
    lines = [line(f"m-{n}", note="x" * 100) for n in range(4_000)]  # 660 KB
    log = ChangeLog(ChangeLogLimits())
    for n in range(160):
        log.apply(answer([fleet(*lines, reset=True)], n), 0)
    assert log.ring.event_bytes == sum(map(len, log.ring.events)) <= 64 * 2**20
    assert log.ring.last_number == 160 and 60 < len(log.ring.events) < 160
    since = log.ring.first_number - 1
    while since < 160:
        got = log.events_page(since, False, False)
        assert got.event_count >= 1 and len(got.body) < 9 * 2**20
        assert read(got)["results"][0]["seq"] == since + 1
        since += got.event_count
    one = EventRing()
    one.apply(numbered([fleet(*lines, reset=True)] * 2))
    assert len(one.events_after(0, 2, 1)) == 1


def test_without_an_endpoint_list_there_is_no_snapshot_page() -> None:
    """It would take the receiver's own list from it."""
    log = ChangeLog(ChangeLogLimits(max_events=2))
    assert log.page_kind(5, 0, False) is PageKind.UNKNOWN and read(log.empty_page(5, False)) == {
        "seq": 0,
        "results": [],
    }
    log.apply(answer([purge(1)] * 5), 0)
    log.publish()
    assert log.page_kind(1, 0, False) is PageKind.UNAVAILABLE
    log.apply({"seq": 0, "results": []}, 1)
    log.apply({"seq": 0, "results": []}, 2)  # a new life in which nothing has been told
    assert (
        log.incarnation == 1 and log.page_kind(3, 0, False) is log.page_kind(3, -1, True) is PageKind.UNKNOWN
    )
    log.apply(answer([purge(1)] * 4), 3)
    log.publish()
    assert log.page_kind(3, 0, False) is PageKind.UNKNOWN and log.page_kind(3, 1, False) is PageKind.EVENTS
    log.apply(answer([fleet(line("a"), reset=True)], 4), 4)
    assert log.page_kind(3, 0, False) is PageKind.SNAPSHOT


def test_a_log_that_goes_back_is_polled_from_0_and_former_numbers_are_ambiguous() -> None:
    log = listed(8)
    log.apply(answer([purge(9, 1_500)], 9), 0)  # 10 events
    log.publish()
    assert log.apply({"seq": 2, "results": []}, 1) == 0
    assert log.poll_from == 0 and not log.caught_up and log.ring.last_number == 10
    log.apply(answer([fleet(line("b"), reset=True), purge(7)]), 2)
    assert (log.incarnation, log.former_last, log.ring.last_number, log.published) == (1, 10, 2, 2)
    assert log.ring.latest_purge == 1_500  # of the former life: a follower may lack it
    # A connection of the former life, and one that has not been answered: either number may be of that life.
    assert (
        log.page_kind(1, 0, False) is PageKind.SNAPSHOT and log.page_kind(1, -1, False) is PageKind.SNAPSHOT
    )
    assert log.page_kind(1, 1, False) is PageKind.EVENTS and log.page_kind(2, 1, False) is PageKind.UP_TO_DATE
    log.apply(answer([purge(n) for n in range(8)], 2), 3)
    log.publish()
    assert log.ring.last_number == 10 and log.ambiguous and log.page_kind(9, -1, False) is PageKind.SNAPSHOT
    log.apply(answer([purge(1)], 10), 4)
    log.publish()
    assert not log.ambiguous and log.page_kind(9, -1, False) is PageKind.EVENTS
    assert log.page_kind(9, 0, False) is PageKind.SNAPSHOT  # its number is of the former life all the same


def test_a_new_incarnation_in_several_pages_is_published_once_it_is_complete() -> None:
    log = listed(9)
    log.apply({"seq": 4, "results": []}, 1)
    log.apply(answer([fleet(line("b"), reset=True), purge(1)], seq=4), 2)
    assert log.incarnation == 0 and log.poll_from == 2 and list(log.ring.endpoints) == ["a"]
    log.apply(answer([purge(1)] * 2, 2), 2)
    assert log.incarnation == 1 and log.poll_from == 4 and list(log.ring.endpoints) == ["b"]


def test_a_persistent_gap_causes_a_poll_from_0() -> None:
    log = listed(2)
    late: Event = {"seq": 9, "results": numbered([purge(1)] * 2, 7)}
    for asks in (3, 0):
        with pytest.raises(GapError):
            log.apply(late, 1)
        assert log.poll_from == asks and log.ring.last_number == 3
    left: list[Event] = [{"seq": 4, **fleet(line("b"), reset=True)}]
    compacted = {"seq": 9, "results": left + late["results"]}
    with pytest.raises(GapError):
        log.apply(compacted, 2)
    log.apply(compacted, 3)  # there is nothing to fill it with
    assert (log.incarnation, log.poll_from, log.ring.first_number, log.published) == (0, 9, 8, 9) and list(
        log.ring.endpoints
    ) == ["b"]
    assert log.page_kind(3, 0, False) is PageKind.SNAPSHOT and log.page_kind(7, 0, False) is PageKind.EVENTS


def test_no_follower_continues_from_within_a_snapshot() -> None:
    above = listed(600)
    log = listed(40)
    log.apply(read(above.snapshot_page(False, False)), 1)
    assert log.poll_from == 601 and log.incarnation == 0
    assert all(log.page_kind(n, 0, False) is PageKind.SNAPSHOT for n in (0, 41, 345, 346, 600))
    assert log.page_kind(601, 0, False) is PageKind.UP_TO_DATE
    log.apply(answer([purge(1)], 601), 2)
    log.publish()
    assert log.page_kind(601, 0, False) is PageKind.EVENTS
    log.apply(read(listed(30).snapshot_page(False, False)), 3)  # lower than what was held
    assert (log.incarnation, log.poll_from, log.former_last) == (1, 31, 602) and log.page_kind(
        31, -1, False
    ) is PageKind.SNAPSHOT


def test_what_only_resembles_a_snapshot_is_not_one() -> None:
    good: list[Event] = json.loads(b"[" + listed(3).ring.snapshot(4) + b"]")
    assert is_snapshot(good) and is_snapshot(good + [{"seq": 5, **purge(1)}])
    assert not is_snapshot(good[:-1]) and not is_snapshot(good[1:]) and not is_snapshot([])
    assert not is_snapshot(good[:9] + good[10:] + [{"seq": 4, **purge(1)}])
    other = [dict(e) for e in good]
    other[5] = {"seq": other[5]["seq"], **purge(7, group=4)}  # of one object
    assert not is_snapshot(other)
    other[0] = {"seq": good[0]["seq"], **fleet(line("a"))}
    assert not is_snapshot(other)


def test_one_page_is_built_for_all_followers_at_the_same_number() -> None:
    log = listed(50)
    assert log.events_page(3, True, False) is log.events_page(3, True, False)
    assert log.events_page(3, False, False) is log.events_page(3, False, True)  # all has been cut
    assert log.snapshot_page(True, False) is log.snapshot_page(True, False)
    assert log.pages.build_count == 3
    log.apply(answer([purge(1)], 51), 0)
    log.publish()
    assert len(read(log.events_page(3, True, False))["results"]) == 49 and log.pages.build_count == 4


def test_a_page_is_compressed_only_where_that_is_smaller() -> None:
    assert build_page(b"", 5, True, 0).body == b'{"seq":5,"results":[]}'
    long = b",".join(b'{"seq":%d}' % n for n in range(200))
    assert len(build_page(long, 200, True, 200).body) < len(build_page(long, 200, False, 200).body) / 2
    heads = [build_page(long, 200, zipped, 200).head(2, b"1.1 top, 1.1 r", True) for zipped in (False, True)]
    assert all(b"\r\nAge: 2\r\nVia: 1.1 top, 1.1 r\r\nConnection: close\r\n\r\n" in head for head in heads)
    assert b"gzip" not in heads[0] and b"Content-Encoding: gzip\r\n" in heads[1]
    assert all(b"Vary: Accept-Encoding\r\n" in head for head in heads)


def test_the_page_cache_is_limited() -> None:
    pages = PageCache(max_pages=4, max_bytes=1000)
    for n in range(9):
        pages.get(n, lambda: Page(b"x" * 100, False, 1))
    assert len(pages) == 4 and pages.byte_count == 400
    pages.get("large", lambda: Page(b"x" * 950, False, 1))
    assert len(pages) == 1 and pages.byte_count == 950  # the one that is asked for, whatever its size


def test_age_is_counted_from_the_last_poll_of_the_log() -> None:
    current = Freshness("r", SECOND)
    assert current.is_stale(0) and current.via == b"1.1 r"
    current.update(10 * SECOND, 0, ())
    assert [current.age_seconds(10 * SECOND + n) for n in (0, 1, SECOND, SECOND + 1)] == [0, 1, 1, 2]
    # A relay between: its own age counts on, and whether this one is behind is between it and the one above.
    current.update(12 * SECOND, 2 * SECOND, ("top",))
    assert current.age_seconds(12 * SECOND + 1) == 3 and current.via == b"1.1 top, 1.1 r"
    assert not current.is_stale(13 * SECOND) and current.is_stale(13 * SECOND + 1)
    current.update(11 * SECOND, 0, ("top",))  # came late: nothing gets older by it
    assert current.age_seconds(12 * SECOND) == 1 and not current.is_stale(13 * SECOND)


def test_events_in_a_loop_of_relays_are_rejected() -> None:
    current = Freshness("b", SECOND)
    assert via_names("1.1 a, HTTP/1.1 c (made, by b), 1.0 d") == ("a", "c", "d")
    current.check_path(via_names("1.1 a, 1.1 c"))
    with pytest.raises(FeedError, match="events in a loop of relays: over "):
        current.check_path(via_names("1.1 a, 1.1 b, 1.1 c"))
    with pytest.raises(FeedError, match="relays"):
        current.check_path(tuple(f"r{n}" for n in range(17)))


def test_an_event_is_confirmed_when_all_followers_have_it() -> None:
    confirmed = ConfirmationTracker()
    confirmed.move_follower(None, 4, 0)
    confirmed.move_follower(None, 4, 0)
    confirmed.move_follower(None, 2, 0)
    assert (confirmed.lowest_confirmed, confirmed.follower_count, confirmed.followers_by_number) == (
        2,
        3,
        {4: 2, 2: 1},
    )
    confirmed.record_arrival(5, 3, 10 * MS)
    confirmed.move_follower(4, 5, 20 * MS)
    confirmed.move_follower(2, 5, 30 * MS)
    assert (
        confirmed.lowest_confirmed == 4
        and confirmed.delays_ms() == {"count": 0}
        and confirmed.unconfirmed_pages() == 1
    )
    confirmed.move_follower(4, 5, 60 * MS)
    found = confirmed.delays_ms()
    assert (
        found["count"] == 3
        and found["max"] == pytest.approx(50, rel=0.02)
        and not confirmed.unconfirmed_pages()
    )
    confirmed.record_arrival(6, 1, 70 * MS)
    for n in range(3):
        assert confirmed.follower_count == 3 - n
        confirmed.move_follower(5, None, 80 * MS)
    assert (
        confirmed.lowest_confirmed is None
        and confirmed.followers_by_number == {}
        and not confirmed.unconfirmed_pages()
    )
    assert confirmed.delays_ms()["count"] == 3


@given(st.lists(st.tuples(st.integers(0, 5), st.one_of(st.none(), st.integers(0, 9))), max_size=60))
def test_the_lowest_confirmed_number_is_that_of_all_followers(moves: list[tuple[int, int | None]]) -> None:
    confirmed = ConfirmationTracker()
    at: dict[int, int] = {}
    for who, new in moves:
        if who in at or new is not None:
            confirmed.move_follower(at.get(who), new, 0)
        if new is None:
            at.pop(who, None)
        else:
            at[who] = new
        assert confirmed.lowest_confirmed == min(
            at.values(), default=None
        ) and confirmed.follower_count == len(at)
        assert sum(confirmed.followers_by_number.values()) == len(at)
