"""When upstream fails or lacks what is asked: kept indexes past their time, and what is not there."""

from __future__ import annotations

import time

import pytest

from hallproxy import interface as i
from hallproxy.repository import simple
from hallproxy.state import caching, effects, events
from hallproxy.state.limits import Limits
from hallproxy.state.local_cache import CacheKey, LocalCacheEntry
from hallproxy.state.negative_cache import NegativeCache
from tests.support.gateway import ReceivedRequest, response, until
from tests.support.reducer import MS, SECOND, ReducerHarness
from tests.support.repository_front import DEPLOY, PROJECT, Front, FrontResponse

SHORT = DEPLOY.replace("fresh_for_ns = [10_000_000_000, 0]", "fresh_for_ns = [300_000_000, 0]")
PATH = f"/simple/{PROJECT}/"


ASK_INTERVAL = 0.05  # s; a front whose loop lags admits 50 requests a second at least, whatever it sheds


def ask(front: Front) -> FrontResponse:
    """Request the index, at a rate that a front on a busy machine never sheds."""
    time.sleep(ASK_INTERVAL)
    return front.get(PATH, Accept=simple.JSON)


def broken(front: Front) -> None:
    front.upstreams[0].hook = lambda _: response(500)


def kept(front: Front) -> str:
    """An index asked for until it is kept; its digest."""
    for _ in range(6):
        got = ask(front)
        assert got.status == 200 and "cache-status" not in got.fields
    return got.fields["etag"]


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_a_kept_index_is_served_past_its_time_when_upstream_fails_and_marked(front: Front) -> None:
    assert SHORT != DEPLOY
    front.start(SHORT)
    tag = kept(front)
    broken(front)
    got = until(lambda: (g := ask(front)).fields.get("cache-status") and g)
    assert got.status == 200 and got.fields["etag"] == tag and "stale-if-error" in got.fields["cache-status"]
    front.upstreams[0].hook = None
    fresh = ask(front)
    assert fresh.status == 200 and "cache-status" not in fresh.fields


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_never_one_from_before_a_purge(front: Front) -> None:
    front.start(SHORT)
    kept(front)
    broken(front)
    assert until(lambda: ask(front).fields.get("cache-status"))
    front.purge()
    assert ask(front).status == 502


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_none_where_the_grace_is_over_or_there_is_none(front: Front) -> None:
    grace = "usable_after_ns = [3_600_000_000_000, 0]"
    assert grace in SHORT
    front.start(SHORT.replace(grace, "usable_after_ns = [0, 0]"))
    kept(front)
    broken(front)
    assert until(lambda: ask(front).status == 502)


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_what_upstream_says_it_lacks_is_no_failure_to_help_over(front: Front) -> None:
    front.start(SHORT.replace("absent_ms = 1000", "absent_ms = 0"))
    kept(front)
    front.upstreams[0].hook = lambda _: response(404)
    assert until(lambda: ask(front).status == 404)


def test_an_unknown_project_asks_upstream_no_more_until_a_purge(front: Front) -> None:
    front.start(DEPLOY.replace("absent_ms = 1000", "absent_ms = 60_000"))
    stand = front.upstreams[0]
    stand.hook = lambda _: response(404)
    assert ask(front).status == 404
    asked = len(stand.http.requests)
    for _ in range(5):
        assert ask(front).status == 404
    assert len(stand.http.requests) == asked
    stand.hook = None
    front.purge()
    assert ask(front).status == 200


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_an_index_past_its_time_is_renewed_by_condition(front: Front) -> None:
    """And bytes come again once upstream calls it by another tag, or forgets what a condition is."""
    stand = front.upstreams[0]
    tags = ['W/"one"']

    def reply(seen: ReceivedRequest) -> bytes | None:
        if seen.path != PATH:
            return b"pass"
        if seen.fields.get("if-none-match") == tags[0]:
            return response(304, ETag=tags[0])
        return stand._index().replace(b"\r\n", f"\r\nETag: {tags[0]}\r\n".encode(), 1)

    stand.hook = reply
    front.start(SHORT)
    tag = kept(front)

    def conditions() -> list[str]:
        return [s.fields["if-none-match"] for s in stand.http.requests if "if-none-match" in s.fields]

    def asks() -> bool:
        assert ask(front).fields["etag"] == tag
        return len(conditions()) >= 3

    assert until(asks) and set(conditions()) == {'W/"one"'}
    stand.files["a-1.whl"] = b"A" * 3000
    tags[0] = '"two"'
    assert until(lambda: ask(front).fields["etag"] != tag)
    front.purge()
    asked = len(stand.http.requests)
    ask(front)
    assert "if-none-match" not in stand.http.requests[asked].fields  # what was purged is asked for whole


@pytest.mark.parametrize("tag", ['"a b"', "bare", '"x', 'W/ "x"', '"' + "x" * 300 + '"', '"\x7f"'])
def test_what_is_no_entity_tag_is_not_sent_back(tag: str) -> None:
    assert simple._validator(tag) == "" and simple._validator('W/"x"') == 'W/"x"'


def test_a_renewal_whose_copy_is_gone_is_no_answer() -> None:
    """A purge on the way: the source's word is of what is no longer held."""
    core = ReducerHarness(stores=1)
    asked = events.ClientRequest("x", 1, SECOND, 7, "7")
    said = events.AttemptResult(i.AttemptStatus.OK, generated_at=core.now, revalidated=True)
    assert caching.revalidated(core.state, asked, '"t"', said).status is i.AttemptStatus.MISS
    core.state.local_cache.resize(1000)
    core.state.local_cache.put(CacheKey(1, 7, 0), LocalCacheEntry(b"body", "tag", core.now, 0, 1, '"t"'))
    good = caching.revalidated(core.state, asked, '"t"', said)
    assert (good.status, good.body, good.etag) == (i.AttemptStatus.OK, b"body", "tag")
    assert caching.revalidated(core.state, asked, '"other"', said).status is i.AttemptStatus.MISS


@pytest.mark.parametrize("text", ["absent_ms = -1", "absent_ms = 60_001", 'absent_ms = "1"'])
def test_a_time_out_of_range_is_one_plain_line(front: Front, text: str) -> None:
    from hallproxy.repository.config import load
    from hallproxy.run.config import ConfigError

    (front.path / "bad.toml").write_text(DEPLOY.replace("absent_ms = 1000", text))
    with pytest.raises(ConfigError, match="absent_ms"):
        load(front.path / "bad.toml")


def test_negative_cache_is_bounded_expires_and_minds_purges() -> None:
    cache = NegativeCache(ttl=100, max_entries=3)
    keys = [CacheKey(0, n, 0) for n in range(10)]
    for n in range(5):
        cache.record(keys[n], n % 2, n, 0)
    assert len(cache) == 3
    assert not cache.contains(keys[1], 10) and cache.contains(keys[4], 10)
    cache.purge(4, 0, 3)  # it was requested after that purge
    assert cache.contains(keys[4], 10)
    cache.purge(0, 1, 9)
    assert not cache.contains(keys[3], 10) and cache.contains(keys[2], 10)
    assert not cache.contains(keys[2], 102) and cache.contains(keys[4], 103)
    assert len(cache) == 1
    cache.record(keys[9], 0, 50, 50)  # requested before it was purged: it may exist now
    assert not cache.contains(keys[9], 60)


def test_what_the_change_log_could_not_tell_ends_what_is_known_absent() -> None:
    core = ReducerHarness(stores=1, limits=Limits(negative_ttl=60 * SECOND))
    core.dispatch(events.WatchCaughtUp(core.now))

    def ask(caller: int) -> list[effects.Effect]:
        return core.request(caller, object_id=7)

    opened = next(e for e in ask(1) if isinstance(e, effects.OpenConnection))
    core.dispatch(events.ConnectionOpened(core.now, opened.connection))
    core.now += 10 * MS
    lacks = events.AttemptResult(i.AttemptStatus.MISS, reason=events.FailureReason.NOT_FOUND)
    for _ in range(8):
        if 1 in core.state.awaiting_response:
            one = next(iter(core.state.attempts.values()))
            core.dispatch(events.ConnectionOpened(core.now, one.connection_id))
            core.dispatch(events.ResponseReceived(core.now, one.connection_id, lacks, True))
    done = [e for e in ask(2) if isinstance(e, effects.SendResponse)]
    assert done and done[0].response.reason is events.FailureReason.NOT_FOUND
    core.now += 6 * SECOND  # no news for longer than a purge takes to count as told
    assert not [e for e in ask(3) if isinstance(e, effects.SendResponse)]
