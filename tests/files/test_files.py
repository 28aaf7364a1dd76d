"""Files cached on disk: eviction and bounds, and the repository front over disks that fail."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hallproxy.files.file_table import (
    MAX_FILE_DIVISOR,
    MAX_WRITES,
    WRITE_PAUSE,
    DirectoryEntry,
    FileName,
    FileTable,
    parse_file_name,
)
from tests.support.files_front import FILES_CONFIG, cached_file_name, cached_files, upstream_downloads
from tests.support.gateway import ROOT, Program, until
from tests.support.repository_front import Front, sha256_hex, stop_after_test


def name(n: int, obj: int = 1) -> FileName:
    return FileName(obj, f"{n:064x}")


def filled(max_bytes: int, *sizes: int) -> FileTable:
    table = FileTable(max_bytes)
    for n, size in enumerate(sizes):
        assert table.begin_write(name(n), size, 0) is not None and table.finish_write(name(n), True, 0)
    return table


def test_the_least_recently_used_is_evicted_first() -> None:
    table = filled(1000, 250, 250, 250, 250)
    assert table.mark_used(name(0))
    assert table.begin_write(name(9), 200, 0) == [name(1)]
    assert table.finish_write(name(9), True, 0) and not table.mark_used(name(1)) and table.used_bytes == 950


@pytest.mark.parametrize("size", [0, 501, 5000])
def test_files_that_are_empty_or_a_large_part_of_the_bound_are_not_cached(size: int) -> None:
    assert filled(1000, 100).begin_write(name(5), size, 0) is None


def test_writes_pause_after_a_failed_one() -> None:
    table = filled(1000, 100)
    assert table.begin_write(name(5), 100, 0) == [] and not table.finish_write(name(5), False, 0)
    assert table.used_bytes == 100 and table.begin_write(name(6), 100, WRITE_PAUSE - 1) is None
    assert table.begin_write(name(6), 100, WRITE_PAUSE) == []


def test_a_file_purged_while_it_is_written_is_removed_after_the_write() -> None:
    table = FileTable(1000)
    assert table.begin_write(name(1, obj=0x105), 100, 0) == []
    assert table.purge(0, 5) == [] and table.used_bytes == 0
    assert not table.finish_write(name(1, obj=0x105), True, 0) and not table.mark_used(name(1, obj=0x105))


def test_a_purge_drops_a_project_or_a_whole_group() -> None:
    table = FileTable(1000)
    for n, obj in enumerate((0x105, 0x105, 0x205, 0x106)):
        assert table.begin_write(name(n, obj), 100, 0) == [] and table.finish_write(name(n, obj), True, 0)
    assert table.purge(0x105, 0) == [name(0, 0x105), name(1, 0x105)]
    assert table.purge(0, 5) == [name(2, 0x205)] and list(table.sizes) == [name(3, 0x106)]


def test_concurrent_writes_are_bounded() -> None:
    table = FileTable(10**6)
    assert all(table.begin_write(name(n), 10, 0) == [] for n in range(MAX_WRITES))
    assert table.begin_write(name(99), 10, 0) is None


def test_a_start_recovers_files_oldest_first_and_returns_what_to_remove() -> None:
    table = FileTable(1000)
    entries = [DirectoryEntry(str(name(n)), 250, used_at=100 - n) for n in range(5)]
    entries += [
        DirectoryEntry(f"{name(7)}.half", 10, 1),
        DirectoryEntry("notes.txt", 10, 1),
        DirectoryEntry(str(name(8)), 0, 1),
    ]
    entries.append(DirectoryEntry(str(name(9)), 600, 1))
    removed = table.recover(entries)
    assert set(removed) == {f"{name(7)}.half", "notes.txt", str(name(8)), str(name(9)), str(name(4))}
    assert list(table.sizes) == [name(3), name(2), name(1), name(0)] and table.used_bytes == 1000


def test_only_file_names_are_parsed() -> None:
    assert parse_file_name(str(name(3, 77))) == name(3, 77)
    assert not any(
        parse_file_name(text) for text in ("", ".lock", "../x", f"{name(1)}.half", f"{name(1)}\n", "a-b")
    )


OPS = st.lists(
    st.tuples(
        st.sampled_from(("begin", "written", "failed", "use", "drop", "purge")),
        st.integers(0, 7),
        st.integers(1, 300),
    ),
    max_size=80,
)


@settings(max_examples=150, deadline=None)
@given(OPS)
def test_used_bytes_are_counted_correctly_and_stay_within_the_bound(ops: list[tuple[str, int, int]]) -> None:
    table, now = FileTable(1000), 0
    for operation, n, size in ops:
        now += WRITE_PAUSE // 3
        file_name = name(n, obj=n % 3)
        if operation == "begin":
            evicted = table.begin_write(file_name, size, now)
            assert evicted is None or (size <= 1000 // MAX_FILE_DIVISOR and file_name not in evicted)
        elif operation in ("written", "failed"):
            table.finish_write(file_name, operation == "written", now)
        elif operation == "use":
            assert table.mark_used(file_name) == (file_name in table.sizes)
        elif operation == "drop":
            table.drop(file_name)
        else:
            table.purge(n % 3, n % 3)
        assert table.used_bytes == sum(table.sizes.values()) + sum(table.writing.values()) <= 1000
        assert not set(table.sizes) & set(table.writing)


# The repository front ---------------------------------------------------------------------------------------


@pytest.fixture
def front(tmp_path: Path) -> Iterator[Front]:
    yield from stop_after_test(Front(tmp_path).start(text=FILES_CONFIG))


def download(front: Front, file: str = "a-1.whl") -> bytes:
    got = front.get(front.file_urls()[file])
    assert got.status == 200, got
    return got.body


def restart(front: Front, kill: bool = False) -> None:
    """Start the front again on the same directory, with its memory empty."""
    if kill:
        front.program.process.send_signal(signal.SIGKILL)
        front.program.wait()
    else:
        assert front.program.stop() == 0
    front.program = Program("repository", str(front.path / "repository.toml"))


@pytest.mark.parametrize("kill", [False, True])
def test_a_restarted_front_serves_files_from_the_disk(front: Front, kill: bool) -> None:
    body = download(front)
    until(lambda: cached_files(front) == [cached_file_name(body)])
    restart(front, kill)
    got = front.get(front.file_urls()["a-1.whl"], Range="bytes=10-19")
    assert got.status == 206 and got.body == body[10:20] and got.fields["etag"] == f'"{sha256_hex(body)}"'
    assert download(front) == body and upstream_downloads(front) == 1
    tag = f'"{sha256_hex(body)}"'
    assert (
        front.get(front.file_urls()["a-1.whl"], If_None_Match=tag).status == 304
        and upstream_downloads(front) == 1
    )


@pytest.mark.parametrize(
    "stored", [b"", b"a" * 2999, b"a" * 2999 + b"b", b"a" * 3001], ids=["0", "short", "other", "long"]
)
def test_bytes_that_do_not_match_their_digest_are_never_served(front: Front, stored: bytes) -> None:
    body = download(front)
    until(lambda: cached_files(front) == [cached_file_name(body)])
    assert front.program.stop() == 0
    (front.path / "kept" / cached_file_name(body)).write_bytes(stored)
    (front.path / "kept" / f"{cached_file_name(b'x')}.half").write_bytes(b"half of it")
    front.program = Program("repository", str(front.path / "repository.toml"))
    assert download(front) == body and upstream_downloads(front) == 2
    path = front.path / "kept" / cached_file_name(body)
    until(lambda: cached_files(front) == [path.name] and path.read_bytes() == body)


def test_a_file_removed_from_the_directory_is_fetched_again(front: Front) -> None:
    body = download(front)
    until(lambda: cached_files(front) == [cached_file_name(body)])
    restart(front)
    (front.path / "kept" / cached_file_name(body)).unlink()
    assert download(front) == body and upstream_downloads(front) == 2


def test_a_purge_removes_the_files_of_its_project(front: Front) -> None:
    body = download(front)
    until(lambda: cached_files(front) == [cached_file_name(body)])
    front.purge()
    until(lambda: cached_files(front) == [])
    assert download(front) == body and upstream_downloads(front) == 2


def test_a_file_that_the_index_no_longer_names_is_not_served_from_the_disk(front: Front) -> None:
    url = front.file_urls()["a-1.whl"]
    body = download(front)
    until(lambda: cached_files(front) == [cached_file_name(body)])
    restart(front)
    front.upstreams[0].files["a-1.whl"] = b"c" * 3000
    got = front.get(url)
    assert got.status == 410 and body not in got.body


def test_a_failing_disk_costs_no_response(front: Front) -> None:
    body = front.upstreams[0].files["a-1.whl"]
    (front.path / "kept" / f"{cached_file_name(body)}.half").mkdir()
    assert download(front) == body
    until(lambda: any("can't be written" in line for line in front.program.lines))
    assert download(front, "b-1.whl") == front.upstreams[0].files["b-1.whl"]
    assert cached_file_name(body) not in cached_files(front)
    # Writes pause, so that there is not one line for each file.
    assert sum("can't be written" in line for line in front.program.lines) == 1


def assert_config_rejected(path: Path, message: str) -> None:
    ran = subprocess.run(
        [sys.executable, "-m", "hallproxy", "repository", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    assert ran.returncode == 1 and message in ran.stderr and ran.stderr.count("\n") == 1, ran.stderr


def test_the_directory_is_locked_by_one_process(front: Front) -> None:
    assert_config_rejected(front.path / "repository.toml", "in use by another process")


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("most_mb = 4", "most_mb = 0", "most_mb is 0"),
        ("most_mb = 4\nlarge", "most_mb = 4\nsize = 3\nlarge", "files: unknown key 'size'"),
        ("large_mb = 1", "large_mb = 17", "large_mb is 17"),
        ('directory = "kept"', "directory = 3", "directory is 3"),
        ('directory = "kept"', 'directory = "r.toml/x"', "can't be used"),
    ],
)
def test_invalid_files_settings_are_reported_in_one_line(
    tmp_path: Path, old: str, new: str, message: str
) -> None:
    path = tmp_path / "r.toml"
    path.write_text(FILES_CONFIG.replace(old, new))
    assert_config_rejected(path, message)
