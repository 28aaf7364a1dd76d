"""SIGTERM and SIGINT end the process gracefully; SIGHUP reloads its configuration."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable

from hallproxy.interface import SettingsError
from hallproxy.run.config import ConfigError
from hallproxy.run.log import log_line


class Signals:
    """``stopped`` is set for good by SIGTERM and SIGINT, ``reload`` by each SIGHUP until it is handled."""

    def __init__(self) -> None:
        self.stopped = asyncio.Event()
        self.reload = asyncio.Event()

    async def handle_reloads(self, take: Callable[[], None]) -> None:
        """Call ``take`` at each SIGHUP, for ever. An error in the files is logged and changes nothing."""
        while True:
            await self.reload.wait()
            self.reload.clear()
            try:
                take()
                log_line("the configuration was read anew")
            except (ConfigError, SettingsError) as error:
                log_line(f"the configuration stays as it was: {error}")
            except Exception as error:  # noqa: BLE001 - an unforeseen file must not end the gateway
                log_line(f"the configuration stays as it was: {type(error).__name__} {error}")


async def run_until_stopped(serve: Callable[[Signals], Awaitable[None]]) -> None:
    """Run one role of the program with the process's signals."""
    signals = Signals()
    event_loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(number, signals.stopped.set)
    event_loop.add_signal_handler(signal.SIGHUP, signals.reload.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # one that came meanwhile is handled now
    await serve(signals)
