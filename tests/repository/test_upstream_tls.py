"""TLS to upstream repositories and clients: certificates and names are checked, failures are logged."""

from __future__ import annotations

import contextlib
import http.client
import json
import re
import signal
import socket
import ssl
import time
from pathlib import Path

import pytest
import trustme

from hallproxy.repository import simple
from hallproxy.repository.config import load
from hallproxy.run.config import ConfigError
from tests.support.gateway import until
from tests.support.repository_front import DEPLOY, PROJECT, Front, RepositoryStandIn
from tests.support.tls import https_get, start_with_certificate, write_certificate


def _serve_tls(stand_in: RepositoryStandIn, authority: trustme.CA, *names: str) -> None:
    """The stand-in accepts TLS only, with a certificate for ``names`` from ``authority``."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert(*names).configure_cert(context)
    handle_plain = stand_in.http.listener._handle
    stand_in.http.listener._handle = lambda sock: handle_plain(context.wrap_socket(sock, server_side=True))


def _start(front: Front, trusted: trustme.CA, lines: str = "") -> None:
    trusted.cert_pem.write_to_path(str(front.path / "ca.pem"))
    table = f'tls = true\nca = "ca.pem"\n{lines}\n[settings]'
    front.start(DEPLOY.replace("[settings]", table, 1))


def test_indexes_and_files_are_fetched_over_tls_on_reused_connections(front: Front) -> None:
    authority, stand_in = trustme.CA(), front.upstreams[0]
    _serve_tls(stand_in, authority, "127.0.0.1")
    _start(front, authority)
    for _ in range(4):
        front.purge()  # nothing stays cached: each round is requested from upstream
        for name, url in front.file_urls().items():
            got = front.get(url)
            assert got.status == 200 and got.body == stand_in.files[name]
    assert (
        len(stand_in.http.requests) >= 6 and stand_in.http.requests[0].fields["host"] == stand_in.http.address
    )
    assert len(stand_in.http.listener.connections) < len(stand_in.http.requests)  # connections were reused


def test_server_name_is_the_checked_name_and_the_host_field(front: Front) -> None:
    authority, stand_in = trustme.CA(), front.upstreams[0]
    _serve_tls(stand_in, authority, "repository.internal")
    _start(front, authority, 'server_name = "repository.internal"\n')
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 200
    assert stand_in.http.requests[0].fields["host"] == "repository.internal"


@pytest.mark.parametrize(
    ("names", "log_text"),
    [(("127.0.0.1",), "certificate is not trusted"), (("elsewhere.internal",), "certificate is not trusted")],
)
def test_an_untrusted_certificate_or_another_name_is_a_502_and_logged(
    front: Front, names: tuple[str, ...], log_text: str
) -> None:
    stand_in = front.upstreams[0]
    other = trustme.CA() if names == ("127.0.0.1",) else None
    trusted = trustme.CA()
    _serve_tls(stand_in, other or trusted, *names)
    _start(front, trusted)
    got = front.get(f"/simple/{PROJECT}/", Accept=simple.JSON)
    assert got.status == 502 and not stand_in.http.requests
    until(lambda: [line for line in front.program.lines if log_text in line])


def test_an_upstream_without_tls_is_a_502_and_logged(front: Front) -> None:
    handle_plain = front.upstreams[0].http.listener._handle

    def handle(sock: socket.socket) -> None:
        with contextlib.suppress(UnicodeDecodeError):  # a handshake decoded as a request
            handle_plain(sock)

    front.upstreams[0].http.listener._handle = handle
    _start(front, trustme.CA())  # the stand-in serves plain HTTP
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 502
    until(lambda: [line for line in front.program.lines if "TLS failed" in line])


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ('tls = "yes"\n', "'yes'; true or false is accepted"),
        ('tls = true\nca = "nowhere.pem"\n', "can't be used"),
        ('tls = true\nca = "bad.pem"\n', "can't be used"),
        ('ca = "bad.pem"\n', "need tls = true"),
    ],
)
def test_invalid_tls_settings_are_one_line(tmp_path: Path, lines: str, message: str) -> None:
    (tmp_path / "bad.pem").write_text("-----BEGIN CERTIFICATE-----\nno\n-----END CERTIFICATE-----\n")
    file = tmp_path / "repository.toml"
    file.write_text(re.sub(r'(address = "127.0.0.1:8082"\n)', rf"\g<1>{lines}", DEPLOY))
    with pytest.raises(ConfigError, match=message) as caught:
        load(file)
    assert "\n" not in str(caught.value)


def test_clients_are_served_over_tls_and_plain_http_is_not_answered(front: Front) -> None:
    authority = trustme.CA()
    start_with_certificate(front, authority)
    status, body = https_get(front, authority, f"/simple/{PROJECT}/")
    assert status == 200
    url = json.loads(body)["files"][0]["url"]
    assert https_get(front, authority, url) == (200, front.upstreams[0].files["a-1.whl"])
    with pytest.raises((http.client.HTTPException, OSError)):
        front.get(f"/simple/{PROJECT}/")
    assert https_get(front, authority, f"/simple/{PROJECT}/")[0] == 200


def test_a_reload_applies_a_new_certificate_to_new_connections_and_keeps_the_old_on_an_error(
    front: Front,
) -> None:
    first, second = trustme.CA(), trustme.CA()
    start_with_certificate(front, first)
    (front.path / "server.pem").write_text("not a certificate")
    front.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("configuration not reloaded" in x for x in front.program.lines))
    assert https_get(front, first, "/simple/")[0] == 200
    write_certificate(front, second)
    front.program.process.send_signal(signal.SIGHUP)

    def second_is_served() -> bool:
        try:
            return https_get(front, second, "/simple/")[0] == 200
        except ssl.SSLError:
            return False

    until(second_is_served)
    with pytest.raises(ssl.SSLError):
        https_get(front, first, "/simple/")


def test_a_client_that_never_ends_its_handshake_is_closed(front: Front) -> None:
    start_with_certificate(front, trustme.CA())
    with socket.create_connection(("127.0.0.1", front.program.port), timeout=15) as sock:
        sock.sendall(b"\x16\x03\x01")  # the start of a TLS record, then nothing
        started_at = time.monotonic()
        assert sock.recv(100) == b""
        assert 4.0 < time.monotonic() - started_at < 12.0


@pytest.mark.parametrize(
    ("lines", "message"),
    [
        ('tls_certificate = "server.pem"\n', "are needed together"),
        ('tls_certificate = "server.pem"\ntls_key = "nowhere.key"\n', "nowhere.key"),
    ],
)
def test_an_invalid_front_certificate_is_one_line(tmp_path: Path, lines: str, message: str) -> None:
    file = tmp_path / "repository.toml"
    file.write_text(DEPLOY.replace("[[upstream]]", f"{lines}\n[[upstream]]", 1))
    with pytest.raises(ConfigError, match=message) as caught:
        load(file)
    assert "\n" not in str(caught.value)
