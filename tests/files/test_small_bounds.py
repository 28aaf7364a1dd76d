"""The table of cached files with a small bound, over a model of a disk whose operations end late."""

from __future__ import annotations

import random
from collections import deque

import pytest

from hallproxy.files.file_cache import DiskFileCache
from hallproxy.files.file_table import FileName, FileTable
from hallproxy.files.messages import FileWritten, RemoveFile, WriteFile
from hallproxy.state.events import ClientRequest
from hallproxy.state.in_flight import InFlightRequest
from tests.support.reducer import ReducerHarness

STEPS = 4_000
MAX_BYTES = 100
LARGE = 1_000  # bytes; no file here is


class SlowDisk:
    """Operations on one file run in order, those on different files in any; ``end_one`` ends one of them."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.state = ReducerHarness().state
        self.cache = DiskFileCache(self.state, FileTable(MAX_BYTES), LARGE)
        self.pending: dict[FileName, deque[WriteFile | RemoveFile]] = {}
        self.files: set[FileName] = set()

    def take_effects(self) -> None:
        for effect in self.state.effects:
            if isinstance(effect, WriteFile | RemoveFile):
                self.pending.setdefault(effect.name, deque()).append(effect)
        self.state.effects = []

    def end_one(self) -> None:
        name = self.rng.choice(list(self.pending))
        operation = self.pending[name].popleft()
        if not self.pending[name]:
            del self.pending[name]
        if isinstance(operation, RemoveFile):
            self.files.discard(name)
            return
        succeeded = self.rng.random() < 0.9
        if succeeded:
            self.files.add(name)
        self.cache.handle(FileWritten(self.state.now, name, succeeded))
        self.cache.table.paused_until = 0

    def store(self, name: FileName, size: int) -> None:
        request = ClientRequest("id", 0, 10**9, name.object, "file", digest=name.digest)
        self.cache.store(InFlightRequest(1, 1, request, 0), b"x" * size)

    def step(self) -> None:
        name = FileName(self.rng.randrange(1, 5), "d" * 64)
        draw = self.rng.random()
        if draw < 0.45:
            self.store(name, self.rng.randrange(1, 50))
        elif draw < 0.60:
            self.cache.purge(name.object, 0)
        elif draw < 0.65:
            self.cache.discard(str(name))
        elif self.pending:
            self.end_one()
        self.take_effects()

    def check(self) -> None:
        table = self.cache.table
        assert table.used_bytes == sum(table.sizes.values()) + sum(table.writing.values()) <= MAX_BYTES
        assert not table.sizes.keys() & table.writing.keys()


@pytest.mark.parametrize("seed", range(4))
def test_the_table_names_the_files_that_the_disk_has(seed: int) -> None:
    """Guards against a file that is removed, after a purge during its write, while the table names it."""
    disk = SlowDisk(seed)
    for _ in range(STEPS):
        disk.step()
        disk.check()
        if disk.rng.random() < 0.02:
            while disk.pending:
                disk.end_one()
                disk.take_effects()
                disk.check()
            assert not disk.cache.table.writing
            assert disk.files == disk.cache.table.sizes.keys()
