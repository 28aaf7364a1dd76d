"""Files kept on disk: what stays and leaves, and the second front with them over bad disks."""

from __future__ import annotations

import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from hallproxy.files.file_table import LARGEST, PAUSE, WRITES, FileTable, Found, Name, read_name
from tests.support.files_front import FILES_CONFIG, cached_file_name, cached_files, upstream_downloads
from tests.support.gateway import ROOT, Program, until
from tests.support.repository_front import Front, sha256_hex, stop_after_test


def name(n: int, obj: int = 1) -> Name:
    return Name(obj, f"{n:064x}")


def filled(most: int, *sizes: int) -> FileTable:
    kept = FileTable(most)
    for n, size in enumerate(sizes):
        assert kept.begin(name(n), size, 0) is not None and kept.written(name(n), True, 0)
    return kept


def test_the_longest_unused_leaves_first() -> None:
    kept = filled(1000, 250, 250, 250, 250)
    assert kept.use(name(0))
    assert kept.begin(name(9), 200, 0) == [name(1)]
    assert kept.written(name(9), True, 0) and not kept.use(name(1)) and kept.used_bytes == 950


@pytest.mark.parametrize("size", [0, 501, 5000])
def test_what_is_empty_or_a_large_part_of_the_bound_is_not_kept(size: int) -> None:
    assert filled(1000, 100).begin(name(5), size, 0) is None


def test_after_a_failed_write_none_is_tried_for_a_while() -> None:
    kept = filled(1000, 100)
    assert kept.begin(name(5), 100, 0) == [] and not kept.written(name(5), False, 0)
    assert kept.used_bytes == 100 and kept.begin(name(6), 100, PAUSE - 1) is None
    assert kept.begin(name(6), 100, PAUSE) == []


def test_what_is_purged_while_it_is_written_goes_when_it_is_there() -> None:
    kept = FileTable(1000)
    assert kept.begin(name(1, obj=0x105), 100, 0) == []
    assert kept.purge(0, 5) == [] and kept.used_bytes == 0
    assert not kept.written(name(1, obj=0x105), True, 0) and not kept.use(name(1, obj=0x105))


def test_a_purge_takes_a_project_or_a_whole_group() -> None:
    kept = FileTable(1000)
    for n, obj in enumerate((0x105, 0x105, 0x205, 0x106)):
        assert kept.begin(name(n, obj), 100, 0) == [] and kept.written(name(n, obj), True, 0)
    assert kept.purge(0x105, 0) == [name(0, 0x105), name(1, 0x105)]
    assert kept.purge(0, 5) == [name(2, 0x205)] and list(kept.sizes) == [name(3, 0x106)]


def test_few_are_written_at_once() -> None:
    kept = FileTable(10**6)
    assert all(kept.begin(name(n), 10, 0) == [] for n in range(WRITES))
    assert kept.begin(name(99), 10, 0) is None


def test_a_start_takes_in_names_and_sizes_oldest_first_and_says_what_goes() -> None:
    kept = FileTable(1000)
    found = [Found(str(name(n)), 250, used=100 - n) for n in range(5)]
    found += [Found(f"{name(7)}.half", 10, 1), Found("notes.txt", 10, 1), Found(str(name(8)), 0, 1)]
    found.append(Found(str(name(9)), 600, 1))
    gone = kept.recover(found)
    assert set(gone) == {f"{name(7)}.half", "notes.txt", str(name(8)), str(name(9)), str(name(4))}
    assert list(kept.sizes) == [name(3), name(2), name(1), name(0)] and kept.used_bytes == 1000


def test_names_are_read_back_and_nothing_else_is() -> None:
    assert read_name(str(name(3, 77))) == name(3, 77)
    assert not any(
        read_name(text) for text in ("", ".lock", "../x", f"{name(1)}.half", f"{name(1)}\n", "a-b")
    )


OPS = st.lists(
    st.tuples(
        st.sampled_from(("begin", "good", "bad", "use", "drop", "purge")),
        st.integers(0, 7),
        st.integers(1, 300),
    ),
    max_size=80,
)


@settings(max_examples=150, deadline=None)
@given(OPS)
def test_what_is_held_is_counted_right_and_never_over_the_bound(ops: list[tuple[str, int, int]]) -> None:
    kept, now = FileTable(1000), 0
    for what, n, size in ops:
        now += PAUSE // 3
        one = name(n, obj=n % 3)
        if what == "begin":
            gone = kept.begin(one, size, now)
            assert gone is None or (size <= 1000 // LARGEST and one not in gone)
        elif what in ("good", "bad"):
            kept.written(one, what == "good", now)
        elif what == "use":
            assert kept.use(one) == (one in kept.sizes)
        elif what == "drop":
            kept.drop(one)
        else:
            kept.purge(n % 3, n % 3)
        assert kept.used_bytes == sum(kept.sizes.values()) + sum(kept.writing.values()) <= 1000
        assert not set(kept.sizes) & set(kept.writing)


# The second front ------------------------------------------------------------------------------------------


@pytest.fixture
def shelf(tmp_path: Path) -> Iterator[Front]:
    yield from stop_after_test(Front(tmp_path).start(text=FILES_CONFIG))


def take(front: Front, file: str = "a-1.whl") -> bytes:
    got = front.get(front.file_urls()[file])
    assert got.status == 200, got
    return got.body


def again(front: Front, kill: bool = False) -> None:
    """The same front anew on the same directory: its memory is empty."""
    if kill:
        front.program.process.send_signal(signal.SIGKILL)
        front.program.wait()
    else:
        assert front.program.stop() == 0
    front.program = Program("repository", str(front.path / "repository.toml"))


@pytest.mark.parametrize("kill", [False, True])
def test_a_restarted_front_serves_files_from_the_disk(shelf: Front, kill: bool) -> None:
    body = take(shelf)
    until(lambda: cached_files(shelf) == [cached_file_name(body)])
    again(shelf, kill)
    got = shelf.get(shelf.file_urls()["a-1.whl"], Range="bytes=10-19")
    assert got.status == 206 and got.body == body[10:20] and got.fields["etag"] == f'"{sha256_hex(body)}"'
    assert take(shelf) == body and upstream_downloads(shelf) == 1
    tag = f'"{sha256_hex(body)}"'
    assert (
        shelf.get(shelf.file_urls()["a-1.whl"], If_None_Match=tag).status == 304
        and upstream_downloads(shelf) == 1
    )


@pytest.mark.parametrize(
    "wrong", [b"", b"a" * 2999, b"a" * 2999 + b"b", b"a" * 3001], ids=["0", "short", "other", "long"]
)
def test_bytes_that_are_not_what_the_name_says_never_go_out(shelf: Front, wrong: bytes) -> None:
    body = take(shelf)
    until(lambda: cached_files(shelf) == [cached_file_name(body)])
    assert shelf.program.stop() == 0
    (shelf.path / "kept" / cached_file_name(body)).write_bytes(wrong)
    (shelf.path / "kept" / f"{cached_file_name(b'x')}.half").write_bytes(b"half of it")
    shelf.program = Program("repository", str(shelf.path / "repository.toml"))
    assert take(shelf) == body and upstream_downloads(shelf) == 2
    kept = shelf.path / "kept" / cached_file_name(body)
    until(lambda: cached_files(shelf) == [kept.name] and kept.read_bytes() == body)


def test_a_file_that_vanished_is_asked_for_again(shelf: Front) -> None:
    body = take(shelf)
    until(lambda: cached_files(shelf) == [cached_file_name(body)])
    again(shelf)
    (shelf.path / "kept" / cached_file_name(body)).unlink()
    assert take(shelf) == body and upstream_downloads(shelf) == 2


def test_a_purge_takes_the_files_of_its_project_too(shelf: Front) -> None:
    body = take(shelf)
    until(lambda: cached_files(shelf) == [cached_file_name(body)])
    shelf.purge()
    until(lambda: cached_files(shelf) == [])
    assert take(shelf) == body and upstream_downloads(shelf) == 2


def test_what_the_index_does_not_name_any_more_is_not_served_from_the_disk(shelf: Front) -> None:
    url = shelf.file_urls()["a-1.whl"]
    body = take(shelf)
    until(lambda: cached_files(shelf) == [cached_file_name(body)])
    again(shelf)
    shelf.upstreams[0].files["a-1.whl"] = b"c" * 3000
    got = shelf.get(url)
    assert got.status == 410 and body not in got.body


def test_a_disk_that_takes_nothing_costs_no_answer(shelf: Front) -> None:
    body = shelf.upstreams[0].files["a-1.whl"]
    (shelf.path / "kept" / f"{cached_file_name(body)}.half").mkdir()
    assert take(shelf) == body
    until(lambda: any("can't be written" in line for line in shelf.program.lines))
    assert take(shelf, "b-1.whl") == shelf.upstreams[0].files["b-1.whl"]
    assert cached_file_name(body) not in cached_files(shelf)
    assert (
        sum("can't be written" in line for line in shelf.program.lines) == 1
    )  # a pause, not a line for each


def refused(path: Path, says: str) -> None:
    ran = subprocess.run(
        [sys.executable, "-m", "hallproxy", "repository", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    assert ran.returncode == 1 and says in ran.stderr and ran.stderr.count("\n") == 1, ran.stderr


def test_the_directory_has_one_owner(shelf: Front) -> None:
    refused(shelf.path / "repository.toml", "in use by another process")


@pytest.mark.parametrize(
    ("old", "new", "says"),
    [
        ("most_mb = 4", "most_mb = 0", "most_mb is 0"),
        ("most_mb = 4\nlarge", "most_mb = 4\nsize = 3\nlarge", "files: unknown key 'size'"),
        ("large_mb = 1", "large_mb = 17", "large_mb is 17"),
        ('directory = "kept"', "directory = 3", "directory is 3"),
        ('directory = "kept"', 'directory = "r.toml/x"', "can't be used"),
    ],
)
def test_files_that_make_no_sense_are_one_line(tmp_path: Path, old: str, new: str, says: str) -> None:
    path = tmp_path / "r.toml"
    path.write_text(FILES_CONFIG.replace(old, new))
    refused(path, says)
