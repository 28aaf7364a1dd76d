"""A client's connection, with a socket pair and the reducer's part played by the test."""

from __future__ import annotations

import asyncio
import json
import socket

import pytest

from hallproxy.decisions import Router
from hallproxy.run import effect_runner
from hallproxy.run.byte_budget import ByteBudget
from hallproxy.run.downstream_connections import DownstreamConnections
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.state.effects import Effect, SendResponse
from hallproxy.state.events import Event, RequestReceived, Response, ResponseKind, WatchCaughtUp
from hallproxy.state.model import GatewayState
from hallproxy.wire import frames
from hallproxy.wire.simulator_settings import settings_from_json
from tests.support.gateway import platform_settings

SETTINGS = settings_from_json(json.dumps(platform_settings()).encode())
FIELDS = {"op": "segment", "ttl": "2000", "row": f"{1:016x}", "nth": "0", "batch": "1", "heap": "40.0"}
TOO_LONG = Response(ResponseKind.SERVED, bytes(frames.MAX_FRAME_BYTES))
SERVED = Response(ResponseKind.SERVED, b"bytes")
LONG_BODY_BYTES = 20_000


def new_runner() -> EffectRunner:
    return EffectRunner(GatewayState(SETTINGS, Router(SETTINGS, 1)))


def encode_request(stream: int, body: bytes = b"") -> bytes:
    fields = frames.encode_fields(FIELDS | {"call": f"{stream:016x}"})
    return b"".join(frames.encode_frame(frames.REQUEST, stream, fields + body))


def test_a_response_that_no_frame_can_carry_fails_only_its_own_request(
    capsys: pytest.CaptureFixture[str],
) -> None:
    # Guards against a response that is written though its client can't read it, or that is never answered.
    async def run() -> list[bytes]:
        runner = new_runner()
        received: list[Event] = []
        runner.dispatch = received.append  # type: ignore[method-assign,assignment]
        owner = DownstreamConnections(runner)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.setblocking(False)
        theirs.sendall(encode_request(1) + encode_request(2))
        owner.accept(ours, ("127.0.0.1", 1))
        while len(received) < 2:
            await asyncio.sleep(0.001)
        for event, answer in zip(received, (TOO_LONG, SERVED), strict=True):
            assert isinstance(event, RequestReceived)
            runner.response_callbacks.pop(event.downstream)(answer)
        data = b""
        while not data.endswith(b"bytes"):
            data += await asyncio.get_running_loop().sock_recv(theirs, 4096)
        theirs.close()
        await asyncio.sleep(0.01)
        return [data]

    failed = b"".join(frames.encode_response(1, Response(ResponseKind.FAILED)))
    assert asyncio.run(run()) == [failed + b"".join(frames.encode_response(2, SERVED))]
    assert "response on stream 1 is not sent" in capsys.readouterr().err


@pytest.mark.parametrize("half_close", [False, True])
def test_a_request_is_not_started_while_the_next_one_waits_for_memory_ahead_of_the_close(
    half_close: bool,
) -> None:
    # Guards against requests of a client that has closed, as its close is behind bytes that are not read.
    async def run() -> list[Event]:
        runner = new_runner()
        received: list[Event] = []
        runner.dispatch = received.append  # type: ignore[method-assign,assignment]
        owner = DownstreamConnections(runner)
        owner.request_budget = ByteBudget(lambda: LONG_BODY_BYTES * 3 // 2)
        ours, theirs = socket.socketpair()
        ours.setblocking(False)
        theirs.sendall(encode_request(1, bytes(LONG_BODY_BYTES)) + encode_request(2, bytes(LONG_BODY_BYTES)))
        if half_close:
            theirs.shutdown(socket.SHUT_WR)
        else:
            theirs.close()
        owner.accept(ours, ("127.0.0.1", 1))
        while owner.connections:
            await asyncio.sleep(0.001)
        theirs.close()
        return received

    assert asyncio.run(run()) == []


def test_an_effect_that_fails_does_not_stop_the_others_of_its_event(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against one response that can't be sent, behind which others that end with it are never sent.
    def respond_twice(_state: GatewayState, _event: Event) -> list[Effect]:
        return [SendResponse(1, TOO_LONG), SendResponse(2, SERVED)]

    monkeypatch.setattr(effect_runner, "reduce", respond_twice)
    runner = new_runner()
    answered: list[Response] = []

    def fail(_response: Response) -> None:
        raise frames.EncodeError("too long")

    assert (runner.register_downstream(fail), runner.register_downstream(answered.append)) == (1, 2)
    runner.dispatch(WatchCaughtUp(runner.now()))
    assert answered == [SERVED]
