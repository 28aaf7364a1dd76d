"""Large files through the second front: to the disk as they come, one fetch for all, on after breaks."""

from __future__ import annotations

import http.client
import re
import resource
import signal
import socket
import threading
from collections.abc import Callable, Iterator
from pathlib import Path

import pytest

from hallproxy.files.resume import Part, begins_at, on_from, strong
from tests.support.files_front import FILES_CONFIG, cached_file_name, cached_files, upstream_downloads
from tests.support.gateway import Program, ReceivedRequest, response, until
from tests.support.repository_front import Front, stop_after_test

MB = 1024 * 1024
BODY = bytes(range(256)) * 6144  # 1.5 MB, over large_mb
LARGE = "a-1.whl"
TAG = '"v1"'


@pytest.fixture
def shelf(tmp_path: Path) -> Iterator[Front]:
    front = Front(tmp_path)
    front.upstreams[0].files[LARGE] = BODY
    yield from stop_after_test(front.start(text=FILES_CONFIG))


def url(front: Front) -> str:
    return front.file_urls()[LARGE]


def whole(seen: ReceivedRequest) -> bytes:
    return response(200, BODY, ETag=TAG)


def rest(seen: ReceivedRequest, body: bytes = BODY) -> bytes | None:
    """What an upstream that knows ranges says to the request for a rest; None: it asked for the whole."""
    asked = re.fullmatch(r"bytes=(\d+)-", seen.fields.get("range", ""))
    if asked is None:
        return None
    first = int(asked[1])
    told = {"Content_Range": f"bytes {first}-{len(body) - 1}/{len(body)}", "ETag": TAG}
    return response(206, body[first:], **told)


def breaks(
    front: Front, offset: int, then: Callable[[ReceivedRequest], bytes], tag: str = TAG
) -> list[ReceivedRequest]:
    """The first transfer ends after so many bytes of the body; the ones behind it are as ``then`` says."""
    seen_all: list[ReceivedRequest] = []

    def hook(seen: ReceivedRequest) -> bytes | None:
        if not seen.path.startswith("/pool/"):
            return b"pass"
        seen_all.append(seen)
        if len(seen_all) > 1:
            return then(seen)
        said = response(200, BODY, ETag=tag) if tag else response(200, BODY)
        return said[: said.index(b"\r\n\r\n") + 4 + offset]

    front.upstreams[0].hook = hook
    return seen_all


@pytest.mark.parametrize("offset", [1, 1000, 70_000, MB - 1, MB, MB + 1, len(BODY) - 1])
def test_a_transfer_that_broke_off_goes_on_where_it_stopped(shelf: Front, offset: int) -> None:
    seen = breaks(shelf, offset, lambda s: rest(s) or whole(s))
    got = shelf.get(url(shelf))
    assert got.status == 200 and got.body == BODY
    assert [s.fields.get("range") for s in seen] == [None, f"bytes={offset}-"]
    assert seen[1].fields["if-range"] == TAG
    until(lambda: cached_files(shelf) == [cached_file_name(BODY)])


@pytest.mark.parametrize("tag", ["", 'W/"v1"', "v1"])
def test_without_a_strong_validator_the_whole_is_asked_for_again(shelf: Front, tag: str) -> None:
    seen = breaks(shelf, 70_000, whole, tag)
    assert shelf.get(url(shelf)).body == BODY
    assert [s.fields.get("range") for s in seen] == [None, None]


def other_rest(seen: ReceivedRequest) -> bytes:
    return rest(seen, BODY[:-1] + b"?") or whole(seen)


def other_whole(seen: ReceivedRequest) -> bytes:
    return response(200, b"?" * len(BODY), ETag='"v2"')


def ignored(seen: ReceivedRequest) -> bytes:
    return whole(seen)


def wrong_part(seen: ReceivedRequest) -> bytes:
    first = int(seen.fields["range"][6:-1]) + 1 if "range" in seen.fields else 0
    told = f"bytes {first}-{len(BODY) - 1}/{len(BODY)}"
    return response(206, BODY[first:], Content_Range=told) if first else whole(seen)


def not_there(seen: ReceivedRequest) -> bytes:
    return response(416) if "range" in seen.fields else whole(seen)


@pytest.mark.parametrize(
    ("then", "status"),
    [(ignored, 200), (other_rest, 200), (other_whole, 410), (wrong_part, 200), (not_there, 200)],
)
def test_whatever_upstream_says_to_a_range_no_mixed_bytes_go_out(
    shelf: Front, then: Callable[[ReceivedRequest], bytes], status: int
) -> None:
    breaks(shelf, 70_000, then)
    got = shelf.get(url(shelf))
    assert got.status == status and (got.body == BODY) == (status == 200)
    until(lambda: cached_files(shelf) == ([cached_file_name(BODY)] if status == 200 else []))


def test_a_purge_in_the_middle_of_a_file_has_it_asked_for_again(shelf: Front) -> None:
    go, came = threading.Event(), threading.Event()

    def hook(seen: ReceivedRequest) -> bytes | None:
        if seen.path.startswith("/pool/") and not came.is_set():
            came.set()
            assert go.wait(20)
        return b"pass"

    path, got = url(shelf), []
    shelf.upstreams[0].hook = hook
    asking = threading.Thread(target=lambda: got.append(shelf.get(path)))
    asking.start()
    assert came.wait(20)
    shelf.purge()
    go.set()
    asking.join()
    assert got[0].status == 200 and got[0].body == BODY and upstream_downloads(shelf, LARGE) == 2


def test_a_length_that_was_too_long_ends_as_an_error_and_leaves_nothing(shelf: Front) -> None:
    short = response(200, BODY, ETag=TAG)[:-10]
    shelf.upstreams[0].hook = lambda seen: short if seen.path.startswith("/pool/") else b"pass"
    assert shelf.get(url(shelf)).status in (502, 503, 504)
    assert cached_file_name(BODY) not in cached_files(shelf)


def test_who_asks_meanwhile_waits_for_the_one_fetch_and_the_first_may_leave(shelf: Front) -> None:
    path, go, came = url(shelf), threading.Event(), threading.Event()

    def hook(seen: ReceivedRequest) -> bytes | None:
        if seen.path.startswith("/pool/"):
            came.set()
            assert go.wait(20)
        return b"pass"

    shelf.upstreams[0].hook = hook
    first = socket.create_connection(("127.0.0.1", shelf.program.port))
    first.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    assert came.wait(20)
    got: list[bytes] = []
    threads = [threading.Thread(target=lambda: got.append(shelf.get(path).body)) for _ in range(30)]
    for thread in threads:
        thread.start()
    first.close()
    go.set()
    for thread in threads:
        thread.join()
    assert got == [BODY] * 30 and upstream_downloads(shelf, LARGE) == 1


def test_a_fetch_that_failed_is_taken_up_by_one_of_those_who_wait(shelf: Front) -> None:
    seen = breaks(shelf, 70_000, lambda s: rest(s) or whole(s))
    path, got = url(shelf), []
    threads = [threading.Thread(target=lambda: got.append(shelf.get(path).body)) for _ in range(10)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert got == [BODY] * 10 and len(seen) == 2


def test_a_client_that_hardly_reads_holds_up_nobody(shelf: Front) -> None:
    path = url(shelf)
    slow = socket.create_connection(("127.0.0.1", shelf.program.port))
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    assert slow.recv(1) == b"H"
    for _ in range(5):
        assert shelf.get(path).body == BODY
    assert upstream_downloads(shelf, LARGE) == 1
    rest_of, more = b"H", b"x"
    while len(rest_of) < 20_000 and (more := slow.recv(65536)):  # a little: its window is tiny
        rest_of += more
    body = rest_of.split(b"\r\n\r\n", 1)[1]
    assert len(body) > 10_000 and body == BODY[: len(body)]
    slow.close()


@pytest.mark.parametrize(
    ("asked", "status", "first", "end"),
    [
        ("bytes=10-19", 206, 10, 20),
        ("bytes=-7", 206, len(BODY) - 7, len(BODY)),
        ("bytes=9999999-", 416, 0, 0),
    ],
)
def test_ranges_of_a_large_file(shelf: Front, asked: str, status: int, first: int, end: int) -> None:
    got = shelf.get(url(shelf), Range=asked)
    assert got.status == status
    assert status == 416 or (got.body == BODY[first:end] and got.fields["content-length"] == str(end - first))
    head = shelf.get(url(shelf), method="HEAD")
    assert head.status == 200 and head.fields["content-length"] == str(len(BODY)) and not head.body


def test_a_large_file_is_checked_once_after_a_restart_and_one_that_rotted_is_fetched(shelf: Front) -> None:
    assert shelf.get(url(shelf)).body == BODY
    until(lambda: cached_files(shelf) == [cached_file_name(BODY)])
    shelf.program.process.send_signal(signal.SIGKILL)
    shelf.program.wait()
    (shelf.path / "kept" / f"{cached_file_name(BODY)}.3.part").write_bytes(BODY[:1000])
    shelf.program = Program("repository", str(shelf.path / "repository.toml"))
    assert shelf.get(url(shelf)).body == BODY and upstream_downloads(shelf, LARGE) == 1
    assert cached_files(shelf) == [cached_file_name(BODY)]
    assert shelf.program.stop() == 0
    (shelf.path / "kept" / cached_file_name(BODY)).write_bytes(BODY[:-1] + b"?")
    shelf.program = Program("repository", str(shelf.path / "repository.toml"))
    assert shelf.get(url(shelf)).body == BODY and upstream_downloads(shelf, LARGE) == 2


def test_a_disk_that_fills_gives_an_answer_and_no_half_file(shelf: Front) -> None:
    path = url(shelf)
    resource.prlimit(shelf.program.process.pid, resource.RLIMIT_FSIZE, (MB // 2, MB // 2))
    got = shelf.get(path)
    assert got.status in (200, 503) and (got.status != 200 or got.body == BODY)
    until(lambda: any("can't be written" in line for line in shelf.program.lines))
    until(lambda: cached_files(shelf) == [])
    assert shelf.get(path).body == BODY  # under file_most_mb: in memory while the disk is left alone


def test_a_file_far_over_memory_s_bound_takes_little_memory(tmp_path: Path) -> None:
    """64 MB through a front whose bound for files in memory is 1 MB."""
    body = b"0123456789abcdef" * (4 * MB)
    front = Front(tmp_path)
    front.upstreams[0].files = {LARGE: body}
    text = FILES_CONFIG.replace("file_most_mb = 16", "file_most_mb = 1").replace(
        "most_mb = 4\n", "most_mb = 256\n"
    )
    front.start(text=text)
    try:
        path = url(front)
        before = peak(front)
        made = http.client.HTTPConnection("127.0.0.1", front.program.port, timeout=30)
        made.request("GET", path)
        said = made.getresponse()
        size = 0
        while block := said.read(MB):
            assert block == body[size : size + len(block)]
            size += len(block)
        assert size == len(body) and peak(front) - before < 24 * MB
    finally:
        assert front.program.stop() == 0


def peak(front: Front) -> int:
    text = Path(f"/proc/{front.program.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", text)
    assert found is not None
    return int(found[1]) * 1024


def test_what_goes_on_and_what_begins_anew() -> None:
    part = Part(100, "a:1", TAG)
    assert on_from(part, "a:1") == (100, TAG)
    for none in (None, Part(0, "a:1", TAG), Part(100, "a:1", ""), Part(100, "b:1", TAG)):
        assert on_from(none, "a:1") == (0, "")
    assert (strong(TAG), strong('W/"v1"'), strong("v1"), strong(""), strong('"a"b"')) == (TAG, "", "", "", "")


@pytest.mark.parametrize(
    ("asked", "status", "told", "length", "begins"),
    [
        (0, 200, "", 50, 0),
        (100, 200, "", 150, 0),
        (100, 206, "bytes 100-149/150", 50, 100),
        (100, 206, "bytes 100-149/*", 50, 100),
        (100, 206, "bytes 99-149/150", 51, None),
        (100, 206, "bytes 100-149/151", 50, None),
        (100, 206, "bytes 100-149/150", 49, None),
        (100, 206, "bytes */150", 50, None),
        (100, 206, "", 50, None),
        (0, 206, "bytes 0-49/50", 50, None),
    ],
)
def test_where_an_answer_s_body_begins(
    asked: int, status: int, told: str, length: int, begins: int | None
) -> None:
    assert begins_at(asked, status, {"content-range": told}, length) == begins
