"""A gateway's own copies once a purge that it could not receive counts as notified, with real processes."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from hallproxy.wire import frames
from tests.support.gateway import (
    ChangeLog,
    Client,
    HttpStandIn,
    Platform,
    ReceivedRequest,
    instance_record,
    now_ms,
    poll_parameters,
    response,
    until,
)
from tests.support.processes import reload_config

OBJECTS = range(1, 5)
AFTER_BREAK_MS = 2_000  # after which what a change log that breaks off would have told counts as notified
AFTER_RELOAD_MS = 4_000  # the same after SIGHUP to another change log
GRACE_MS = 300 + 50  # of the rule on purges, on sockets
OBSERVED_S = 3.0  # for which objects are requested after the failure


@dataclass
class FailingLog:
    """Takes the part of a platform's change log, and fails at the first poll that it has an event for."""

    log: ChangeLog
    mode: str
    is_polled: bool = False
    polled_at_ms: list[int] = field(default_factory=list)  # polls from the failure on

    def install(self) -> None:
        """Take over, and wait for a poll."""
        self.log._http.reply = self.answer
        until(lambda: self.is_polled)

    def answer(self, request: ReceivedRequest) -> bytes | None:
        since, wait = poll_parameters(request)
        with self.log._changed:
            self.is_polled = True
            self.log._changed.wait_for(lambda: len(self.log.events) > since, wait / 1000)
            if len(self.log.events) == since:
                return response(200, json.dumps(self.log.page(since)).encode())
        return self._fail(response(200, json.dumps(self.log.page(since)).encode()))

    def _fail(self, page: bytes) -> bytes | None:
        self.polled_at_ms.append(now_ms())
        match self.mode:
            case "cut off amid an event":
                return page[:-30]
            case "cut off behind an event":
                return page[:-2]
            case "cut off amid the head":
                return page[:20]
            case "closed":
                return b""
            case "answers late":
                time.sleep(1.6)
                return page
            case _:
                return None  # hangs

    def notified_at_ms(self) -> int:
        """When the event counts as notified, by the protocol's pages."""
        if self.mode in ("hangs", "answers late"):
            return self.polled_at_ms[1]  # as soon as the gateway polls again
        return self.polled_at_ms[0] + AFTER_BREAK_MS


@dataclass
class Copies:
    """What every store has. ``former`` is a copy that a store still uses where its age is allowed."""

    tag: bytes
    born_ms: int
    former: Copies | None = None

    def reply(self, request: ReceivedRequest) -> bytes:
        max_age_ms = int(request.fields.get("x-max-age-ms", "0"))
        if self.former and (not max_age_ms or request.at_ms - self.former.born_ms <= max_age_ms):
            return self.former.reply(request)
        return response(200, self.tag, ETag=self.tag.decode(), X_Born_Ms=str(self.born_ms))


def request_objects(client: Client) -> list[tuple[int, bytes]]:
    """The body of each object, with the time (ms) at which it was requested."""
    received = []
    for row in OBJECTS:
        sent_ms = now_ms()
        client.send_request(row=row, ttl="2000")
        code, _, body = client.read_response()
        received.append((sent_ms, body if code == frames.SERVED else b""))
    return received


def start_with_own_copies(start_platform: Callable[..., Platform]) -> tuple[Platform, Client, Copies]:
    copies = Copies(b"old", now_ms())
    platform = start_platform()
    platform.set_reply(copies.reply)
    client = platform.client()
    until(lambda: len(platform.log.polls) >= 2)
    for _ in range(6):  # until the objects are known to be in demand, and the gateway has copies of them
        request_objects(client)
    asked = len(platform.requests)
    assert {body for _, body in request_objects(client)} == {b"old"} and len(platform.requests) == asked
    return platform, client, copies


def purge(platform: Platform, copies: Copies) -> None:
    """The stores drop their copies at once, and the change log has the purge."""
    purged_at = now_ms()
    copies.tag, copies.born_ms = b"new", purged_at + 1
    platform.log.add(invalidate={"bucket": 1, "time": purged_at})


def observe(client: Client, seconds: float) -> list[tuple[int, bytes]]:
    received: list[tuple[int, bytes]] = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        received += request_objects(client)
        time.sleep(0.02)
    return received


# Guards against own copies from before a purge that are served after it counts as notified, as the change log
# broke off, closed or fell silent before the purge was received.
@pytest.mark.parametrize(
    "mode",
    [
        "cut off amid an event",
        "cut off behind an event",
        "cut off amid the head",
        "closed",
        "hangs",
        "answers late",
    ],
)
def test_no_own_copy_is_served_once_a_missed_purge_counts_as_notified(
    start_platform: Callable[..., Platform], mode: str
) -> None:
    platform, client, copies = start_with_own_copies(start_platform)
    failing = FailingLog(platform.log, mode)
    failing.install()
    purge(platform, copies)
    until(lambda: failing.polled_at_ms)
    if mode not in ("hangs", "answers late"):
        platform.log._http.listener.stop_listening()
    received = observe(client, OBSERVED_S)
    notified_at = failing.notified_at_ms()
    assert [body for sent_ms, body in received if sent_ms < notified_at].count(b"old") > 0
    late = [sent_ms - notified_at for sent_ms, body in received if body == b"old" and sent_ms > notified_at]
    assert max(late, default=0) <= GRACE_MS
    assert {body for sent_ms, body in received if sent_ms > notified_at + GRACE_MS} == {b"new"}


def test_no_old_copy_of_a_store_is_used_once_a_purge_that_was_cut_off_counts_as_notified(
    start_platform: Callable[..., Platform],
) -> None:
    # Guards against requests without an age limit to stores that have not executed a missed purge yet.
    platform, client, copies = start_with_own_copies(start_platform)
    failing = FailingLog(platform.log, "cut off amid an event")
    failing.install()
    copies.former = Copies(copies.tag, copies.born_ms)
    purge(platform, copies)
    until(lambda: failing.polled_at_ms)
    platform.log._http.listener.stop_listening()
    received = observe(client, OBSERVED_S)
    notified_at = failing.notified_at_ms()
    assert {body for sent_ms, body in received if sent_ms > notified_at + GRACE_MS} == {b"new"}


def test_no_own_copy_is_served_while_a_new_change_log_is_not_heard(
    start_platform: Callable[..., Platform],
) -> None:
    """SIGHUP moves the gateway to an address at which a change log accepts connections and never answers."""
    platform, client, copies = start_with_own_copies(start_platform)
    silent = HttpStandIn(lambda _: None)
    reloaded_at = now_ms()
    reload_config(platform, changelog=silent.address)
    purge(platform, copies)
    until(lambda: silent.requests)
    received = observe(client, OBSERVED_S)
    notified_at = min(reloaded_at + AFTER_RELOAD_MS, silent.requests[0].at_ms)
    late = [sent_ms - notified_at for sent_ms, body in received if body == b"old"]
    assert max(late, default=0) <= GRACE_MS


def test_own_copies_are_used_again_once_the_change_log_answers(
    start_platform: Callable[..., Platform],
) -> None:
    # Guards against copies that are never used again, or not before a poll that is held has been answered.
    platform, client, copies = start_with_own_copies(start_platform)
    failing = FailingLog(platform.log, "closed")
    failing.install()
    purge(platform, copies)
    until(lambda: len(failing.polled_at_ms) > 3)  # the log closes each connection instead of an answer
    platform.log._http.reply = platform.log._answer
    until(lambda: platform.log.acknowledged(2))
    for _ in range(6):
        request_objects(client)
    asked = len(platform.requests)
    assert {body for _, body in request_objects(client)} == {b"new"} and len(platform.requests) == asked


# Guards against a new change log at the address of the former one that is taken for it: its events have
# numbers that the gateway has seen, so that it would hear none of them and believe itself current.
def test_a_change_log_that_counts_anew_is_followed_from_its_first_event(
    start_platform: Callable[..., Platform],
) -> None:
    platform, client, copies = start_with_own_copies(start_platform)
    for number in range(5):
        platform.publish(invalidate={"object": f"{1_000 + number:016x}", "time": now_ms()})
    record = instance_record("s-1", platform.caches[1].address, "std")
    copies.tag, copies.born_ms = b"new", now_ms()
    with platform.log._changed:
        fleet = {"generation": 1, "reset": True, "instances": [record]}
        platform.log.events[:] = [{"seq": 1, "fleet": fleet}]
        platform.log.polls.clear()
    until(lambda: platform.log.acknowledged(1))
    removed = len(platform.caches[0].requests)
    assert {body for _, body in request_objects(client)} == {b"new"}  # the former log may have had a purge
    assert len(platform.caches[0].requests) == removed  # and no longer lists this store
    platform.publish(invalidate={"bucket": 1, "time": now_ms()})


def test_a_change_log_that_is_behind_for_a_moment_is_followed_from_the_last_event(
    start_platform: Callable[..., Platform],
) -> None:
    # Its older list must not be applied again: a store that drains would count as ready.
    platform, _, _ = start_with_own_copies(start_platform)
    platform.drain(0)
    with platform.log._changed:
        latest = platform.log.events.pop()
        platform.log.polls.clear()
    until(lambda: len(platform.log.polls) > 3)
    platform.log.add(fleet=latest["fleet"])
    until(lambda: platform.log.acknowledged(2))
    assert 0 not in platform.log.polls
