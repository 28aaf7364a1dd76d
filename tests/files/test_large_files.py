"""Large files through the repository front: written to disk as they arrive, fetched once, and resumed."""

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

from hallproxy.files.resume import ResumePoint, body_offset, resume_from, strong_etag
from tests.support.files_front import FILES_CONFIG, cached_file_name, cached_files, upstream_downloads
from tests.support.gateway import Program, ReceivedRequest, response, until
from tests.support.repository_front import Front, stop_after_test

MB = 1024 * 1024
BODY = bytes(range(256)) * 6144  # 1.5 MB, over large_mb
LARGE = "a-1.whl"
TAG = '"v1"'


@pytest.fixture
def front(tmp_path: Path) -> Iterator[Front]:
    front = Front(tmp_path)
    front.upstreams[0].files[LARGE] = BODY
    yield from stop_after_test(front.start(text=FILES_CONFIG))


def url(front: Front) -> str:
    return front.file_urls()[LARGE]


def full_response(request: ReceivedRequest) -> bytes:
    return response(200, BODY, ETag=TAG)


def range_response(request: ReceivedRequest, body: bytes = BODY) -> bytes | None:
    """The response of an upstream that supports ranges; None: the request has no range."""
    requested = re.fullmatch(r"bytes=(\d+)-", request.fields.get("range", ""))
    if requested is None:
        return None
    first = int(requested[1])
    content_range = {"Content_Range": f"bytes {first}-{len(body) - 1}/{len(body)}", "ETag": TAG}
    return response(206, body[first:], **content_range)


def interrupt_first_transfer(
    front: Front, offset: int, respond: Callable[[ReceivedRequest], bytes], tag: str = TAG
) -> list[ReceivedRequest]:
    """End the first transfer after ``offset`` bytes of the body; ``respond`` answers the later requests."""
    requests: list[ReceivedRequest] = []

    def hook(request: ReceivedRequest) -> bytes | None:
        if not request.path.startswith("/pool/"):
            return b"pass"
        requests.append(request)
        if len(requests) > 1:
            return respond(request)
        complete = response(200, BODY, ETag=tag) if tag else response(200, BODY)
        return complete[: complete.index(b"\r\n\r\n") + 4 + offset]

    front.upstreams[0].hook = hook
    return requests


@pytest.mark.parametrize("offset", [1, 1000, 70_000, MB - 1, MB, MB + 1, len(BODY) - 1])
def test_an_interrupted_transfer_is_resumed_where_it_stopped(front: Front, offset: int) -> None:
    requests = interrupt_first_transfer(
        front, offset, lambda request: range_response(request) or full_response(request)
    )
    got = front.get(url(front))
    assert got.status == 200 and got.body == BODY
    assert [request.fields.get("range") for request in requests] == [None, f"bytes={offset}-"]
    assert requests[1].fields["if-range"] == TAG
    until(lambda: cached_files(front) == [cached_file_name(BODY)])


@pytest.mark.parametrize("tag", ["", 'W/"v1"', "v1"])
def test_without_a_strong_validator_the_complete_file_is_requested_again(front: Front, tag: str) -> None:
    requests = interrupt_first_transfer(front, 70_000, full_response, tag)
    assert front.get(url(front)).body == BODY
    assert [request.fields.get("range") for request in requests] == [None, None]


def range_of_other_bytes(request: ReceivedRequest) -> bytes:
    return range_response(request, BODY[:-1] + b"?") or full_response(request)


def other_bytes(request: ReceivedRequest) -> bytes:
    return response(200, b"?" * len(BODY), ETag='"v2"')


def ignores_range(request: ReceivedRequest) -> bytes:
    return full_response(request)


def wrong_range(request: ReceivedRequest) -> bytes:
    first = int(request.fields["range"][6:-1]) + 1 if "range" in request.fields else 0
    content_range = f"bytes {first}-{len(BODY) - 1}/{len(BODY)}"
    return response(206, BODY[first:], Content_Range=content_range) if first else full_response(request)


def range_not_satisfiable(request: ReceivedRequest) -> bytes:
    return response(416) if "range" in request.fields else full_response(request)


@pytest.mark.parametrize(
    ("respond", "status"),
    [
        (ignores_range, 200),
        (range_of_other_bytes, 200),
        (other_bytes, 410),
        (wrong_range, 200),
        (range_not_satisfiable, 200),
    ],
)
def test_mixed_bytes_are_never_served_however_upstream_answers_a_range(
    front: Front, respond: Callable[[ReceivedRequest], bytes], status: int
) -> None:
    interrupt_first_transfer(front, 70_000, respond)
    got = front.get(url(front))
    assert got.status == status and (got.body == BODY) == (status == 200)
    until(lambda: cached_files(front) == ([cached_file_name(BODY)] if status == 200 else []))


def test_a_file_purged_during_its_download_is_fetched_again(front: Front) -> None:
    may_respond, arrived = threading.Event(), threading.Event()

    def hook(request: ReceivedRequest) -> bytes | None:
        if request.path.startswith("/pool/") and not arrived.is_set():
            arrived.set()
            assert may_respond.wait(20)
        return b"pass"

    path, got = url(front), []
    front.upstreams[0].hook = hook
    thread = threading.Thread(target=lambda: got.append(front.get(path)))
    thread.start()
    assert arrived.wait(20)
    front.purge()
    may_respond.set()
    thread.join()
    assert got[0].status == 200 and got[0].body == BODY and upstream_downloads(front, LARGE) == 2


def test_a_content_length_beyond_the_body_is_an_error_and_caches_nothing(front: Front) -> None:
    short = response(200, BODY, ETag=TAG)[:-10]
    front.upstreams[0].hook = lambda request: short if request.path.startswith("/pool/") else b"pass"
    assert front.get(url(front)).status in (502, 503, 504)
    assert cached_file_name(BODY) not in cached_files(front)


def test_concurrent_requests_share_one_fetch_and_the_first_may_disconnect(front: Front) -> None:
    path, may_respond, arrived = url(front), threading.Event(), threading.Event()

    def hook(request: ReceivedRequest) -> bytes | None:
        if request.path.startswith("/pool/"):
            arrived.set()
            assert may_respond.wait(20)
        return b"pass"

    front.upstreams[0].hook = hook
    first = socket.create_connection(("127.0.0.1", front.program.port))
    first.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    assert arrived.wait(20)
    got: list[bytes] = []
    threads = [threading.Thread(target=lambda: got.append(front.get(path).body)) for _ in range(30)]
    for thread in threads:
        thread.start()
    first.close()
    may_respond.set()
    for thread in threads:
        thread.join()
    assert got == [BODY] * 30 and upstream_downloads(front, LARGE) == 1


def test_a_failed_fetch_is_resumed_by_one_of_the_waiting_requests(front: Front) -> None:
    requests = interrupt_first_transfer(
        front, 70_000, lambda request: range_response(request) or full_response(request)
    )
    path, got = url(front), []
    threads = [threading.Thread(target=lambda: got.append(front.get(path).body)) for _ in range(10)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert got == [BODY] * 10 and len(requests) == 2


def test_a_slow_client_delays_no_other(front: Front) -> None:
    path = url(front)
    slow = socket.create_connection(("127.0.0.1", front.program.port))
    slow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    slow.sendall(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    assert slow.recv(1) == b"H"
    for _ in range(5):
        assert front.get(path).body == BODY
    assert upstream_downloads(front, LARGE) == 1
    received, more = b"H", b"x"
    while len(received) < 20_000 and (more := slow.recv(65536)):  # only a little: the receive window is small
        received += more
    body = received.split(b"\r\n\r\n", 1)[1]
    assert len(body) > 10_000 and body == BODY[: len(body)]
    slow.close()


@pytest.mark.parametrize(
    ("requested", "status", "first", "end"),
    [
        ("bytes=10-19", 206, 10, 20),
        ("bytes=-7", 206, len(BODY) - 7, len(BODY)),
        ("bytes=9999999-", 416, 0, 0),
    ],
)
def test_ranges_of_a_large_file(front: Front, requested: str, status: int, first: int, end: int) -> None:
    got = front.get(url(front), Range=requested)
    assert got.status == status
    assert status == 416 or (got.body == BODY[first:end] and got.fields["content-length"] == str(end - first))
    head = front.get(url(front), method="HEAD")
    assert head.status == 200 and head.fields["content-length"] == str(len(BODY)) and not head.body


def test_a_large_file_is_checked_once_after_a_restart_and_fetched_again_if_damaged(front: Front) -> None:
    assert front.get(url(front)).body == BODY
    until(lambda: cached_files(front) == [cached_file_name(BODY)])
    front.program.process.send_signal(signal.SIGKILL)
    front.program.wait()
    (front.path / "kept" / f"{cached_file_name(BODY)}.3.part").write_bytes(BODY[:1000])
    front.program = Program("repository", str(front.path / "repository.toml"))
    assert front.get(url(front)).body == BODY and upstream_downloads(front, LARGE) == 1
    assert cached_files(front) == [cached_file_name(BODY)]
    assert front.program.stop() == 0
    (front.path / "kept" / cached_file_name(BODY)).write_bytes(BODY[:-1] + b"?")
    front.program = Program("repository", str(front.path / "repository.toml"))
    assert front.get(url(front)).body == BODY and upstream_downloads(front, LARGE) == 2


def test_a_disk_that_fills_up_gives_a_response_and_no_partial_file(front: Front) -> None:
    path = url(front)
    resource.prlimit(front.program.process.pid, resource.RLIMIT_FSIZE, (MB // 2, MB // 2))
    got = front.get(path)
    assert got.status in (200, 503) and (got.status != 200 or got.body == BODY)
    until(lambda: any("can't be written" in line for line in front.program.lines))
    until(lambda: cached_files(front) == [])
    assert front.get(path).body == BODY  # under file_most_mb: read into memory while writes pause


def test_a_file_far_over_the_memory_bound_takes_little_memory(tmp_path: Path) -> None:
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
        before = peak_memory(front)
        connection = http.client.HTTPConnection("127.0.0.1", front.program.port, timeout=30)
        connection.request("GET", path)
        reply = connection.getresponse()
        size = 0
        while block := reply.read(MB):
            assert block == body[size : size + len(block)]
            size += len(block)
        assert size == len(body) and peak_memory(front) - before < 24 * MB
    finally:
        assert front.program.stop() == 0


def peak_memory(front: Front) -> int:
    text = Path(f"/proc/{front.program.process.pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", text)
    assert found is not None
    return int(found[1]) * 1024


def test_which_downloads_are_resumed() -> None:
    part = ResumePoint(100, "a:1", TAG)
    assert resume_from(part, "a:1") == (100, TAG)
    for none in (None, ResumePoint(0, "a:1", TAG), ResumePoint(100, "a:1", ""), ResumePoint(100, "b:1", TAG)):
        assert resume_from(none, "a:1") == (0, "")
    assert (
        strong_etag(TAG),
        strong_etag('W/"v1"'),
        strong_etag("v1"),
        strong_etag(""),
        strong_etag('"a"b"'),
    ) == (TAG, "", "", "", "")


@pytest.mark.parametrize(
    ("range_from", "status", "content_range", "length", "offset"),
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
def test_the_offset_of_a_response_body(
    range_from: int, status: int, content_range: str, length: int, offset: int | None
) -> None:
    assert body_offset(range_from, status, {"content-range": content_range}, length) == offset
