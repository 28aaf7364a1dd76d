"""When upstream fails or answers 404: stale indexes, conditional renewal and the negative cache."""

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

SHORT_FRESHNESS = DEPLOY.replace("fresh_for_ns = [10_000_000_000, 0]", "fresh_for_ns = [300_000_000, 0]")
INDEX_PATH = f"/simple/{PROJECT}/"


REQUEST_INTERVAL = 0.05  # s; a front whose event loop lags still admits at least 50 requests a second


def get_index(front: Front) -> FrontResponse:
    """Request the index, at a rate that a front on a busy machine never rejects."""
    time.sleep(REQUEST_INTERVAL)
    return front.get(INDEX_PATH, Accept=simple.JSON)


def break_upstream(front: Front) -> None:
    front.upstreams[0].hook = lambda _: response(500)


def cache_index(front: Front) -> str:
    """Request the index until it is cached; return its entity tag."""
    for _ in range(6):
        got = get_index(front)
        assert got.status == 200 and "cache-status" not in got.fields
    return got.fields["etag"]


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_an_expired_index_is_served_and_marked_stale_when_upstream_fails(front: Front) -> None:
    assert SHORT_FRESHNESS != DEPLOY
    front.start(SHORT_FRESHNESS)
    tag = cache_index(front)
    break_upstream(front)
    got = until(lambda: (g := get_index(front)).fields.get("cache-status") and g)
    assert got.status == 200 and got.fields["etag"] == tag and "stale-if-error" in got.fields["cache-status"]
    front.upstreams[0].hook = None
    fresh = get_index(front)
    assert fresh.status == 200 and "cache-status" not in fresh.fields


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_an_index_from_before_a_purge_is_never_served_stale(front: Front) -> None:
    front.start(SHORT_FRESHNESS)
    cache_index(front)
    break_upstream(front)
    assert until(lambda: get_index(front).fields.get("cache-status"))
    front.purge()
    assert get_index(front).status == 502


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_no_index_is_served_stale_without_a_grace_period(front: Front) -> None:
    grace = "usable_after_ns = [3_600_000_000_000, 0]"
    assert grace in SHORT_FRESHNESS
    front.start(SHORT_FRESHNESS.replace(grace, "usable_after_ns = [0, 0]"))
    cache_index(front)
    break_upstream(front)
    assert until(lambda: get_index(front).status == 502)


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_no_index_is_served_stale_when_upstream_answers_404(front: Front) -> None:
    front.start(SHORT_FRESHNESS.replace("absent_ms = 1000", "absent_ms = 0"))
    cache_index(front)
    front.upstreams[0].hook = lambda _: response(404)
    assert until(lambda: get_index(front).status == 404)


def test_an_unknown_project_is_not_requested_again_until_a_purge(front: Front) -> None:
    front.start(DEPLOY.replace("absent_ms = 1000", "absent_ms = 60_000"))
    stand_in = front.upstreams[0]
    stand_in.hook = lambda _: response(404)
    assert get_index(front).status == 404
    request_count = len(stand_in.http.requests)
    for _ in range(5):
        assert get_index(front).status == 404
    assert len(stand_in.http.requests) == request_count
    stand_in.hook = None
    front.purge()
    assert get_index(front).status == 200


@pytest.mark.timing("an index is fresh for 0.3 s")
def test_an_expired_index_is_renewed_by_a_conditional_request(front: Front) -> None:
    """The body is sent again once upstream has another tag, or ignores the condition."""
    stand_in = front.upstreams[0]
    tags = ['W/"one"']

    def reply(request: ReceivedRequest) -> bytes | None:
        if request.path != INDEX_PATH:
            return b"pass"
        if request.fields.get("if-none-match") == tags[0]:
            return response(304, ETag=tags[0])
        return stand_in._index().replace(b"\r\n", f"\r\nETag: {tags[0]}\r\n".encode(), 1)

    stand_in.hook = reply
    front.start(SHORT_FRESHNESS)
    tag = cache_index(front)

    def conditions() -> list[str]:
        return [s.fields["if-none-match"] for s in stand_in.http.requests if "if-none-match" in s.fields]

    def renewed_thrice() -> bool:
        assert get_index(front).fields["etag"] == tag
        return len(conditions()) >= 3

    assert until(renewed_thrice) and set(conditions()) == {'W/"one"'}
    stand_in.files["a-1.whl"] = b"A" * 3000
    tags[0] = '"two"'
    assert until(lambda: get_index(front).fields["etag"] != tag)
    front.purge()
    request_count = len(stand_in.http.requests)
    get_index(front)
    assert "if-none-match" not in stand_in.http.requests[request_count].fields  # no condition after a purge


@pytest.mark.parametrize("tag", ['"a b"', "bare", '"x', 'W/ "x"', '"' + "x" * 300 + '"', '"\x7f"'])
def test_an_invalid_entity_tag_is_not_sent_back(tag: str) -> None:
    assert simple._validator(tag) == "" and simple._validator('W/"x"') == 'W/"x"'


def test_a_renewal_without_its_cached_copy_is_a_miss() -> None:
    """A purge during the renewal removes the copy that upstream's 304 confirms."""
    core = ReducerHarness(stores=1)
    request = events.ClientRequest("x", 1, SECOND, 7, "7")
    result = events.AttemptResult(i.AttemptStatus.OK, generated_at=core.now, revalidated=True)
    assert caching.revalidated(core.state, request, '"t"', result).status is i.AttemptStatus.MISS
    core.state.local_cache.resize(10_000)
    core.state.local_cache.put(CacheKey(1, 7, 0), LocalCacheEntry(b"body", "tag", core.now, 0, 1, '"t"'))
    renewed = caching.revalidated(core.state, request, '"t"', result)
    assert (renewed.status, renewed.body, renewed.etag) == (i.AttemptStatus.OK, b"body", "tag")
    assert caching.revalidated(core.state, request, '"other"', result).status is i.AttemptStatus.MISS


@pytest.mark.parametrize("text", ["absent_ms = -1", "absent_ms = 60_001", 'absent_ms = "1"'])
def test_a_time_out_of_range_is_a_configuration_error(front: Front, text: str) -> None:
    from hallproxy.repository.config import load
    from hallproxy.run.config import ConfigError

    (front.path / "bad.toml").write_text(DEPLOY.replace("absent_ms = 1000", text))
    with pytest.raises(ConfigError, match="absent_ms"):
        load(front.path / "bad.toml")


def test_the_negative_cache_is_bounded_expires_and_honours_purges() -> None:
    cache = NegativeCache(ttl=100, max_entries=3)
    keys = [CacheKey(0, n, 0) for n in range(10)]
    for n in range(5):
        cache.record(keys[n], n % 2, n, 0)
    assert len(cache) == 3
    assert not cache.contains(keys[1], 10) and cache.contains(keys[4], 10)
    cache.purge(4, 0, 3)  # recorded by a request made after that purge
    assert cache.contains(keys[4], 10)
    cache.purge(0, 1, 9)
    assert not cache.contains(keys[3], 10) and cache.contains(keys[2], 10)
    assert not cache.contains(keys[2], 102) and cache.contains(keys[4], 103)
    assert len(cache) == 1
    cache.record(keys[9], 0, 50, 50)  # requested before it was purged: it may exist now
    assert not cache.contains(keys[9], 60)


def test_a_silent_change_log_ends_negative_caching() -> None:
    core = ReducerHarness(stores=1, limits=Limits(negative_ttl=60 * SECOND))
    core.dispatch(events.WatchCaughtUp(core.now))

    def request(downstream: int) -> list[effects.Effect]:
        return core.request(downstream, object_id=7)

    opened = next(e for e in request(1) if isinstance(e, effects.OpenConnection))
    core.dispatch(events.ConnectionOpened(core.now, opened.connection))
    core.now += 10 * MS
    not_found = events.AttemptResult(i.AttemptStatus.MISS, reason=events.FailureReason.NOT_FOUND)
    for _ in range(8):
        if 1 in core.state.awaiting_response:
            attempt = next(iter(core.state.attempts.values()))
            core.dispatch(events.ConnectionOpened(core.now, attempt.connection_id))
            core.dispatch(events.ResponseReceived(core.now, attempt.connection_id, not_found, True))
    done = [e for e in request(2) if isinstance(e, effects.SendResponse)]
    assert done and done[0].response.reason is events.FailureReason.NOT_FOUND
    core.now += 6 * SECOND  # the change log is silent for longer than a purge may take to arrive
    assert not [e for e in request(3) if isinstance(e, effects.SendResponse)]
