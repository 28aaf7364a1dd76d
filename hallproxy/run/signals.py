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

    async def handle_reloads(self, reload_configuration: Callable[[], None]) -> None:
        """Call ``reload_configuration`` at each SIGHUP until cancelled; its errors are logged."""
        while True:
            await self.reload.wait()
            self.reload.clear()
            try:
                reload_configuration()
                log_line("configuration reloaded")
            except (ConfigError, SettingsError) as error:
                log_line(f"configuration not reloaded: {error}")
            except Exception as error:  # noqa: BLE001 - an unforeseen error in a file must not end the process
                log_line(f"configuration not reloaded: {type(error).__name__} {error}")


async def run_until_stopped(serve: Callable[[Signals], Awaitable[None]]) -> None:
    """Run one role of the program with the process's signals handled."""
    signals = Signals()
    event_loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        event_loop.add_signal_handler(number, signals.stopped.set)
    event_loop.add_signal_handler(signal.SIGHUP, signals.reload.set)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})  # a pending one is handled now
    await serve(signals)
