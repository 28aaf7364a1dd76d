"""The second front against a stand-in repository on loopback; responses are checked against the purges."""

from __future__ import annotations

import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from hallproxy.repository import simple
from hallproxy.run import contracts
from hallproxy.wire.http1 import MAX_HEAD_BYTES
from tests.support.gateway import ROOT, ChangeLog, ReceivedRequest, now_ms, response, until
from tests.support.processes import anonymous_memory
from tests.support.repository_front import (
    DEPLOY,
    PROJECT,
    Front,
    FrontResponse,
    RepositoryStandIn,
    basic_auth,
    sha256_hex,
)

HUNDREDS = 200  # connections


@pytest.mark.parametrize("html", [False, True])
def test_index_and_files_in_both_formats(front: Front, html: bool) -> None:
    stand_in = front.upstreams[0]
    stand_in.html = html
    front.start()
    for name, url in front.file_urls().items():
        got = front.get(url)
        assert got.status == 200 and got.body == stand_in.files[name] and sha256_hex(got.body) in url
    page = front.get(f"/simple/{PROJECT}/").body.decode()
    assert re.findall(r'href="([^"#]+)#sha256=', page) == list(front.file_urls().values())
    assert front.get("/simple/").body.count(PROJECT.encode()) == 2
    moved = front.get("/simple/Charger_FW")
    assert (moved.status, moved.fields["location"]) == (301, f"/simple/{PROJECT}/")


def test_conditional_requests_head_and_error_statuses(front: Front) -> None:
    front.start()
    url = front.file_urls()["a-1.whl"]
    for path in (f"/simple/{PROJECT}/", url):
        got = front.get(path)
        assert got.fields["cache-control"] == "no-cache"
        head = front.get(path, "HEAD")
        assert (head.status, head.body, head.fields["content-length"]) == (200, b"", str(len(got.body)))
        not_modified = front.get(path, If_None_Match=f'W/{got.fields["etag"]}, "x"')
        assert (not_modified.status, not_modified.body, not_modified.fields["etag"]) == (
            304,
            b"",
            got.fields["etag"],
        )
        assert front.get(path, If_None_Match='"other"').status == 200
    assert front.get(f"/simple/{PROJECT}/", Accept="image/png").status == 406
    assert front.get(f"/simple/{PROJECT}/", "POST").status == 405
    assert front.get("/simple/unknown/").status == 404
    assert front.get("/elsewhere").status == 404
    assert front.get("/simple/", Bad_Header="x", Content_Length="5").status == 400


def test_a_large_file_is_served_completely(front: Front) -> None:
    """Guards against a stream's own limit on what it reads, which a large body exceeded."""
    front.upstreams[0].files = {"big-1.whl": bytes(range(256)) * 12_000}
    front.start()
    assert front.get(front.file_urls()["big-1.whl"]).body == front.upstreams[0].files["big-1.whl"]


def test_pip_downloads_a_file(front: Front, tmp_path: Path) -> None:
    """pip is an independent client: it chooses what it requests and how."""
    import io
    import zipfile

    name, data = "charger_fw-1.0-py3-none-any.whl", io.BytesIO()
    with zipfile.ZipFile(data, "w") as wheel:
        meta = "charger_fw-1.0.dist-info/"
        wheel.writestr(meta + "METADATA", "Metadata-Version: 2.1\nName: charger-fw\nVersion: 1.0\n")
        wheel.writestr(meta + "WHEEL", "Wheel-Version: 1.0\nRoot-Is-Purelib: true\nTag: py3-none-any\n")
        wheel.writestr(meta + "RECORD", "")
    front.upstreams[0].files = {name: data.getvalue()}
    front.start()
    ran = subprocess.run(
        [sys.executable, "-m", "pip", "--isolated", "download", "--no-deps", "--no-cache-dir",
         "-d", str(tmp_path),
         "--index-url", f"http://127.0.0.1:{front.program.port}/simple/", "charger-fw"],
        capture_output=True, text=True,
        env={"PATH": os.environ["PATH"], "PIP_CONFIG_FILE": os.devnull},  # no other index, no proxy
    )  # fmt: skip
    assert ran.returncode == 0, ran.stderr
    assert (tmp_path / name).read_bytes() == data.getvalue()


def test_an_index_replaced_between_requests_never_gives_mixed_bytes(front: Front) -> None:
    stand_in = front.upstreams[0]
    front.start()
    urls = front.file_urls()
    assert front.get(urls["a-1.whl"]).body == b"a" * 3000
    stand_in.files = {"a-1.whl": b"A" * 3000, "b-1.whl": b"B" * 5000}
    got = front.get(urls["b-1.whl"])
    assert got.status == 410 and "read the index again" in got.body.decode()
    assert got.fields["link"] == f'</simple/{PROJECT}/>; rel="index"'
    again = front.file_urls()
    assert again["b-1.whl"] != urls["b-1.whl"]
    assert front.get(again["b-1.whl"]).body == b"B" * 5000
    assert front.get(urls["a-1.whl"]).status == 410


def test_a_cached_index_is_dropped_when_a_listed_file_is_gone(front: Front) -> None:
    """A client told to read the index again must not get the same outdated one from the cache."""
    stand_in = front.upstreams[0]
    front.start()
    for _ in range(4):  # often enough to be cached
        urls = front.file_urls()
    stand_in.files["b-1.whl"] = b"B" * 5000
    assert front.get(urls["b-1.whl"]).status == 410
    assert front.get(front.file_urls()["b-1.whl"]).body == b"B" * 5000


def test_a_purge_between_index_and_file(front: Front) -> None:
    stand_in = front.upstreams[0]
    front.start()
    for _ in range(4):
        urls = front.file_urls()
        front.get(urls["a-1.whl"])
    stand_in.files["a-1.whl"] = b"A" * 3000
    purged = front.purge()
    request_count = len(stand_in.http.requests)
    got = front.get(urls["a-1.whl"])
    assert got.status == 410
    assert any(s.at_ms >= purged for s in stand_in.http.requests[request_count:])
    assert front.get(front.file_urls()["a-1.whl"]).body == b"A" * 3000


def test_a_request_in_flight_at_a_purge_is_repeated(front: Front) -> None:
    stand_in = front.upstreams[0]
    front.start()
    gate, arrived = threading.Event(), threading.Event()

    def hold(request: ReceivedRequest) -> bytes | None:
        index = stand_in._index()  # from before the purge
        if not arrived.is_set():
            arrived.set()
            gate.wait(5)
        else:
            index = stand_in._index()
        return index

    stand_in.hook = hold
    got: list[FrontResponse] = []
    client = threading.Thread(target=lambda: got.append(front.get(f"/simple/{PROJECT}/", Accept=simple.JSON)))
    client.start()
    assert arrived.wait(5)
    stand_in.files["a-1.whl"] = b"A" * 3000
    front.purge()
    gate.set()
    client.join()
    assert got[0].status == 200 and sha256_hex(b"A" * 3000) in got[0].body.decode()


def test_an_old_copy_of_an_upstream_cache_is_not_served_after_a_purge(front: Front) -> None:
    stand_in = front.upstreams[0]
    front.start()
    front.purge()
    stand_in.hook = lambda _: stand_in._index().replace(b"\r\n", b"\r\nAge: 30\r\n", 1)
    assert front.get(f"/simple/{PROJECT}/").status in (502, 503, 504)
    assert "max-age" in stand_in.http.requests[-1].fields["cache-control"]


def files_of_version(number: int) -> dict[str, bytes]:
    return {f"{name}-1.whl": b"%d " % number * 800 for name in "ab"}


def read_once(
    front: Front, versions: dict[str, int], answers: list[tuple[float, int]], faults: list[str]
) -> None:
    """Read the index and each listed file; record when each was requested and the version received."""
    requested_at = time.monotonic()
    urls = front.file_urls()
    for url in urls.values():
        answers.append((requested_at, versions[url.split("/")[3]]))
    for url in urls.values():
        requested_at = time.monotonic()
        got = front.get(url)
        if got.status == 200:
            numbers = set(got.body.split())
            if len(numbers) != 1 or sha256_hex(got.body) not in url:
                faults.append(f"mixed bytes {numbers}")
            answers.append((requested_at, int(numbers.pop())))
        elif got.status != 410:
            faults.append(f"status {got.status} {got.body!r}")


def test_every_response_is_newer_than_the_purges_received(front: Front) -> None:
    """Clients read continuously while the files are replaced and purged repeatedly."""
    stand_in = front.upstreams[0]
    front.start()
    purges: list[tuple[float, int]] = []  # when the front had received it; the version current since then
    answers: list[tuple[float, int]] = []  # when requested; the version received
    faults: list[str] = []
    done = threading.Event()

    def read() -> None:
        while not done.is_set():
            read_once(front, versions, answers, faults)

    versions = {sha256_hex(data): n for n in range(9) for data in files_of_version(n).values()}
    stand_in.files = files_of_version(0)
    readers = [threading.Thread(target=read) for _ in range(3)]
    for reader in readers:
        reader.start()
    for number in range(1, 9):
        before = len(answers)
        stand_in.files = files_of_version(number)
        swapped = now_ms()
        until(lambda swapped=swapped: now_ms() > swapped)  # type: ignore[misc]  # a purge's time is in whole ms
        front.purge()
        purges.append((time.monotonic(), number))
        # Responses to requests from before the purge may arrive first: wait for some from after it.
        at = purges[-1][0]
        until(lambda at=at, before=before: sum(requested_at > at for requested_at, _ in answers[before:]) > 3)  # type: ignore[misc]
    done.set()
    for reader in readers:
        reader.join()
    assert not faults
    checked = 0
    for requested_at, got in answers:
        overdue = max((number for at, number in purges if requested_at > at + 0.3), default=0)
        current = max((number for at, number in purges if requested_at > at), default=0)
        assert got >= overdue and got >= current
        checked += 1
    assert checked > 24 and {got for _, got in answers} >= {8}


def test_an_upstream_failing_mid_file_is_retried_or_reported(front: Front) -> None:
    stand_in = front.upstreams[0]
    front.start()
    url = front.file_urls()["a-1.whl"]
    half = response(200, b"a" * 3000)[:-1000]
    count = iter(range(100))
    stand_in.hook = lambda s: half if s.path.startswith("/pool/") and next(count) == 0 else b"pass"
    assert front.get(url).body == b"a" * 3000
    front.purge()
    stand_in.hook = lambda s: half if s.path.startswith("/pool/") else b"pass"
    got = front.get(url)
    assert got.status == 502 and "broke off" in got.body.decode()


def test_an_error_response_is_not_lost_to_an_unread_body(front: Front) -> None:
    """The body is unread when the response is sent: the connection is closed gracefully, not reset."""
    front.start()
    with socket.create_connection(("127.0.0.1", front.program.port), timeout=10) as sock:
        front.program.process.send_signal(signal.SIGSTOP)
        head = b"POST /simple/ HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n"
        sock.sendall(head + b"x" * 60_000)
        front.program.process.send_signal(signal.SIGCONT)
        got = b""
        while more := sock.recv(65_536):  # a reset would be an error
            got += more
    assert got.startswith(b"HTTP/1.1 400 ")


def test_heads_of_very_many_short_fields_take_memory_in_proportion_to_their_bytes(front: Front) -> None:
    # Guards against hundreds of clients whose heads, decoded, stay in memory with their connections.
    front.start()
    assert front.get(f"/simple/{PROJECT}/").status == 200
    fields = b"".join(b"%x:\r\n" % n for n in range(0x100, 0x100 + 2_500))
    head = b"GET /nothing HTTP/1.1\r\nHost: x\r\n" + fields + b"\r\n"
    assert len(head) <= MAX_HEAD_BYTES
    before = anonymous_memory(front.program.process.pid)
    clients = []
    for _ in range(HUNDREDS):
        clients.append(socket.create_connection(("127.0.0.1", front.program.port), timeout=10))
        clients[-1].sendall(head)
    for client in clients:
        assert client.recv(12).startswith(b"HTTP/1.1 ")
    assert anonymous_memory(front.program.process.pid) - before <= HUNDREDS * 4 * MAX_HEAD_BYTES
    for client in clients:
        client.close()


@pytest.mark.timing("each answer comes within 0.7 s")
@pytest.mark.parametrize(
    ("reply", "status"),
    [
        (lambda _: b"", 502),
        (lambda _: response(500), 502),
        (lambda _: response(200, b"junk", Content_Type=simple.JSON), 502),
        (lambda _: response(503), 503),
        (lambda _: response(429), 503),
        (lambda _: response(404), 404),
        (lambda _: None, 504),
    ],
)
def test_errors_are_mapped_and_sent_in_time(
    front: Front, reply: Callable[[ReceivedRequest], Any], status: int
) -> None:
    front.upstreams[0].hook = reply
    front.start(DEPLOY.replace("deadline_ns = 5_000_000_000", "deadline_ns = 600_000_000"))
    started_at = time.monotonic()
    got = front.get(f"/simple/{PROJECT}/")
    assert got.status == status and time.monotonic() - started_at < 0.7
    assert ("retry-after" in got.fields) == (status in (502, 503, 504))


def test_an_unreachable_repository_is_a_502(front: Front) -> None:
    front.upstreams[0].http.listener.close()
    front.start()
    got = front.get(f"/simple/{PROJECT}/")
    assert got.status == 502 and "retry-after" in got.fields


def test_a_second_repository_takes_over(front: Front) -> None:
    front.upstreams.append(RepositoryStandIn())
    front.upstreams[0].hook = lambda _: b""
    front.start()
    for _ in range(6):
        assert front.get(front.file_urls()["b-1.whl"]).body == b"b" * 5000


def test_sigterm_between_index_and_file_still_serves_the_file(front: Front) -> None:
    stand_in = front.upstreams[0]
    front.start()
    url = front.file_urls()["a-1.whl"]
    gate, arrived = threading.Event(), threading.Event()

    def hold(_: ReceivedRequest) -> bytes:
        arrived.set()
        gate.wait(5)
        return b"pass"

    stand_in.hook = hold
    got: list[FrontResponse] = []
    client = threading.Thread(target=lambda: got.append(front.get(url)))
    client.start()
    assert arrived.wait(5)
    front.program.process.terminate()

    def closed() -> bool:
        try:
            socket.create_connection(("127.0.0.1", front.program.port)).close()
        except ConnectionRefusedError:
            return True
        except ConnectionResetError:  # it was in the backlog when the port closed
            return False
        return False

    until(closed)
    gate.set()
    client.join()
    assert (got[0].status, got[0].body) == (200, b"a" * 3000)
    assert got[0].fields["connection"] == "close"


@pytest.mark.timing("the answer comes within 0.6 s")
def test_contracts_are_enforced_and_can_change_at_run_time(front: Front, tmp_path: Path) -> None:
    file, state, plan = tmp_path / "c.toml", tmp_path / "contracts.json", tmp_path / "p"

    def apply_budget(requests: int) -> None:
        file.write_text(f"""
[teams.stations]
token_sha256 = "{sha256_hex(b"secret")}"
[teams.screens]
token_sha256 = "{sha256_hex(b"other")}"
[services.firmware]
projects = ["charger-*"]
[[contracts]]
team = "stations"
service = "firmware"
requests = {requests}
bytes = 100000
deadline_ms = 400
window_s = 3600
""")
        contracts.plan(file, state, plan)
        assert contracts.apply(plan, state)

    front.start(contracts=True)
    path = f"/simple/{PROJECT}/"
    assert front.get(path).status == 401  # nothing is applied yet
    apply_budget(4)
    until(lambda: front.get(path, Authorization=basic_auth("stations", "secret")).status == 200)
    assert front.get(path, Authorization=basic_auth("stations", "wrong")).status == 401
    assert front.get(path, Authorization=basic_auth("screens", "other")).status == 403
    assert front.get("/simple/", Authorization=basic_auth("stations", "secret")).status == 403
    front.upstreams[0].hook = lambda _: None
    front.purge()
    started_at = time.monotonic()
    assert front.get(path, Authorization=basic_auth("stations", "secret")).status == 504
    assert time.monotonic() - started_at < 0.6  # the contract's deadline, not the class's
    front.upstreams[0].hook = None
    got = [front.get(path, Authorization=basic_auth("stations", "secret")) for _ in range(4)]
    assert [g.status for g in got] == [200, 200, 429, 429]
    assert 3000 < int(got[-1].fields["retry-after"]) <= 3600
    apply_budget(0)  # no budget of requests
    until(lambda: front.get(path, Authorization=basic_auth("stations", "secret")).status == 200)


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (('listen = "127.0.0.1:8081"', 'listen = "here"'), "not an address"),
        (('listen = "127.0.0.1:8081"', "listen = "), "not TOML"),
        (('name = "package"', 'name = "other"'), "no class package"),
        (("file_most_mb", "file_most"), "unknown key"),
        (("file_most_mb = 16", "file_most_mb = -1"), "file_most_mb"),
        (('address = "127.0.0.1:8082"', 'address = "x"'), "not an address"),
        (("tick_ns = 2_000_000", ""), "missing"),
    ],
)
def test_an_invalid_deploy_file_is_one_line(tmp_path: Path, change: tuple[str, str], message: str) -> None:
    path = tmp_path / "r.toml"
    path.write_text(DEPLOY.replace(*change))
    ran = subprocess.run(
        [sys.executable, "-m", "hallproxy", "repository", str(path)], cwd=ROOT, capture_output=True, text=True
    )
    assert ran.returncode == 1 and message in ran.stderr and ran.stderr.count("\n") == 1, ran.stderr


@pytest.mark.timing("the connection ends within 8 s, usually after 5 s")
def test_a_connection_that_never_sends_a_complete_head_is_closed(front: Front) -> None:
    front.start()
    started_at = time.monotonic()
    with socket.create_connection(("127.0.0.1", front.program.port)) as silent:
        silent.sendall(b"GET /simple/ HTTP/1.1\r\nHost: x\r\n")
        silent.settimeout(10)
        assert silent.recv(100) == b""
    assert time.monotonic() - started_at < 8
    assert front.file_urls()


@pytest.mark.parametrize("early", [b"HTTP/1.1 103 Early Hints\r\n\r\n", b""])
def test_upstream_responses_with_surplus_bytes(front: Front, early: bytes) -> None:
    stand_in = front.upstreams[0]
    reply = stand_in.http.reply
    stand_in.http.reply = (
        lambda request: early + (reply(request) or b"") + (b"" if early else b"noise behind")
    )
    front.start()
    for name, url in front.file_urls().items():
        got = front.get(url)
        assert got.status == 200 and got.body == stand_in.files[name]


def test_a_file_that_stalls_on_an_open_connection_is_requested_again(front: Front) -> None:
    """Waiting would take the request's complete 30 s; its client has disconnected long before."""
    front.start()
    stand_in, url, count = front.upstreams[0], front.file_urls()["a-1.whl"], iter(range(100))
    stand_in.http.stalls_after_partial = True
    half = response(200, stand_in.files["a-1.whl"])[:-100]
    stand_in.hook = (
        lambda request: half if request.path.startswith("/pool/") and next(count) == 0 else b"pass"
    )
    got = front.get(url)
    assert (got.status, got.body) == (200, stand_in.files["a-1.whl"])
    assert [s.path for s in stand_in.http.requests].count("/pool/a-1.whl") == 2


def test_sighup_reloads_the_deploy_file(front: Front) -> None:
    front.start()
    front.file_urls()
    purged = front.purge()
    new = ChangeLog()
    new.events = [*front.log.events]
    path = front.path / "repository.toml"
    text = path.read_text()
    path.write_text("listen = ")
    front.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("configuration not reloaded" in x for x in front.program.lines))
    fresh = RepositoryStandIn()
    fresh.files = {"other-1.0.tar.gz": b"other"}
    text = text.replace(front.log.address, new.address)
    path.write_text(text.replace(front.upstreams[0].http.address, fresh.http.address))
    front.program.process.send_signal(signal.SIGHUP)
    until(lambda: 1 in new.polls)
    seq = new.add(invalidate={"object": f"{simple.object_id(PROJECT):016x}", "time": purged + 1})
    until(lambda: new.acknowledged(seq))
    assert list(front.file_urls()) == ["other-1.0.tar.gz"]


REJECTED_AGES = {"long": "9" * 5_000, "other digits": "\u00b2", "negative": "-1", "two": "1 2"}
NESTED_JSON = b'{"files":' + b"[" * 100_000


@pytest.mark.parametrize("age", REJECTED_AGES.values(), ids=REJECTED_AGES)
def test_an_index_with_an_invalid_age_is_served(front: Front, age: str) -> None:
    # Guards against a header that ends the reading of the upstream's connection with a traceback.
    upstream = front.upstreams[0]

    def reply_with_age(request: ReceivedRequest) -> bytes:
        upstream.hook = None
        reply = upstream._reply(request)
        assert reply is not None
        return reply.replace(b"\r\n", f"\r\nAge: {age}\r\n".encode("latin-1"), 1)

    front.start()
    upstream.hook = reply_with_age
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 200


def test_a_deeply_nested_index_counts_as_an_error_of_its_upstream(front: Front) -> None:
    # Guards against nested JSON that ends the reading of the upstream's connection with a traceback.
    front.upstreams[0].hook = lambda _: response(200, NESTED_JSON, Content_Type=simple.JSON)
    front.start()
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 502
