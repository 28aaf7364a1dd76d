"""What the process is told by signals: to end, or to read its configuration anew."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from hallproxy.interface import SettingsError
from hallproxy.run.config import ConfigError
from hallproxy.run.loop import say


class Signals:
    def __init__(self) -> None:
        self.stopped = asyncio.Event()
        self.reload = asyncio.Event()

    async def reloads(self, take: Callable[[], None]) -> None:
        """Read anew at each SIGHUP. Whatever is wrong with the file is a line in the log, no more."""
        while True:
            await self.reload.wait()
            self.reload.clear()
            try:
                take()
                say("the configuration was read anew")
            except (ConfigError, SettingsError) as error:
                say(f"the configuration stays as it was: {error}")
            except Exception as error:  # a file nobody foresaw must not end the gateway
                say(f"the configuration stays as it was: {type(error).__name__} {error}")
