"""Process loop of the simulator protocol: frames on standard input, replies on standard output."""

from __future__ import annotations

import sys
from collections.abc import Sequence
from typing import BinaryIO

from hallproxy.decisions import Router
from hallproxy.interface import Action, Event, SettingsError
from hallproxy.wire.simulator_actions import InstanceActions, encode_fault, encode_reply
from hallproxy.wire.simulator_events import (
    Decoder,
    EventBatch,
    InstanceKilled,
    InstanceStarted,
    WireError,
    WireEvent,
    read_frame,
)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch until the input ends. A malformed frame raises before anything is written."""
    decoder = Decoder()
    routers: dict[int, Router] = {}
    while (frame := read_frame(source.read)) is not None:
        batch = decoder.batch(frame)
        sink.write(_reply(batch, routers))
        sink.flush()


def _reply(batch: EventBatch, routers: dict[int, Router]) -> bytes:
    """Encode every instance's actions, or the fault of the first instance whose decisions failed."""
    replies: list[InstanceActions] = []
    for instance_events in batch.instances:
        try:
            actions = _run(routers, instance_events.instance, batch.now, instance_events.events)
        except (SettingsError, WireError):
            raise
        except Exception as error:  # noqa: BLE001 - the simulator ends its run and shows this text
            text = f"{type(error).__name__}: {error} (line {_line_of(error)})"
            return encode_fault(batch.number, instance_events.instance, text)
        replies.append(InstanceActions(instance_events.instance, actions))
    return encode_reply(batch.number, replies)


def _line_of(error: Exception) -> int:
    """Return the number of the line that raised the error."""
    traceback = error.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback.tb_lineno if traceback is not None else 0


def _run(routers: dict[int, Router], instance: int, now: int, events: Sequence[WireEvent]) -> list[Action]:
    """Run one instance's events of a batch; those before its kill or restart are discarded."""
    pending: list[Event] = []
    actions: list[Action] = []
    router = routers.get(instance)
    for event in events:
        if isinstance(event, InstanceKilled):
            routers.pop(instance, None)
            router, pending, actions = None, [], []
        elif isinstance(event, InstanceStarted):
            router = routers[instance] = Router(event.settings, event.seed)
            pending, actions = [], []
        elif router is None:
            raise WireError(f"event for instance {instance}, which was not started")
        else:
            pending.append(event)
    if router is not None:
        actions += router.handle(now, pending)
    return actions


def main() -> int:
    """Run the loop; malformed input ends it with one line on standard error and exit status 1."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, SettingsError) as error:
        print(f"hallproxy: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
