"""TLS to upstream repositories: certificates and names checked, failures said plainly."""

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


def _speaks_tls(stand: RepositoryStandIn, authority: trustme.CA, *names: str) -> None:
    """The stand answers over TLS alone, with a certificate for ``names`` from ``authority``."""
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    authority.issue_cert(*names).configure_cert(context)
    plain = stand.http.listener._handle
    stand.http.listener._handle = lambda made: plain(context.wrap_socket(made, server_side=True))


def _start(front: Front, trusted: trustme.CA, lines: str = "") -> None:
    trusted.cert_pem.write_to_path(str(front.path / "ca.pem"))
    told = f'tls = true\nca = "ca.pem"\n{lines}\n[settings]'
    front.start(DEPLOY.replace("[settings]", told, 1))


def test_indexes_and_files_come_over_tls_on_kept_connections(front: Front) -> None:
    authority, stand = trustme.CA(), front.upstreams[0]
    _speaks_tls(stand, authority, "127.0.0.1")
    _start(front, authority)
    for _ in range(4):
        front.purge()  # nothing kept: each round goes upstream
        for name, url in front.file_urls().items():
            got = front.get(url)
            assert got.status == 200 and got.body == stand.files[name]
    assert len(stand.http.requests) >= 6 and stand.http.requests[0].fields["host"] == stand.http.address
    assert len(stand.http.listener.connections) < len(stand.http.requests)  # connections were used again


def test_the_name_checked_is_the_server_name_and_it_is_the_host(front: Front) -> None:
    authority, stand = trustme.CA(), front.upstreams[0]
    _speaks_tls(stand, authority, "repository.internal")
    _start(front, authority, 'server_name = "repository.internal"\n')
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 200
    assert stand.http.requests[0].fields["host"] == "repository.internal"


@pytest.mark.parametrize(
    ("names", "said"),
    [(("127.0.0.1",), "certificate is not trusted"), (("elsewhere.internal",), "certificate is not trusted")],
)
def test_a_certificate_not_trusted_or_for_another_name_is_a_502_and_a_line(
    front: Front, names: tuple[str, ...], said: str
) -> None:
    stand = front.upstreams[0]
    other = trustme.CA() if names == ("127.0.0.1",) else None
    trusted = trustme.CA()
    _speaks_tls(stand, other or trusted, *names)
    _start(front, trusted)
    got = front.get(f"/simple/{PROJECT}/", Accept=simple.JSON)
    assert got.status == 502 and not stand.http.requests
    until(lambda: [line for line in front.program.lines if said in line])


def test_an_upstream_that_speaks_no_tls_is_a_502_and_a_line(front: Front) -> None:
    plain = front.upstreams[0].http.listener._handle

    def handle(made: socket.socket) -> None:
        with contextlib.suppress(UnicodeDecodeError):  # a handshake read as a request
            plain(made)

    front.upstreams[0].http.listener._handle = handle
    _start(front, trustme.CA())  # the stand speaks plain HTTP
    assert front.get(f"/simple/{PROJECT}/", Accept=simple.JSON).status == 502
    until(lambda: [line for line in front.program.lines if "TLS failed" in line])


@pytest.mark.parametrize(
    ("lines", "words"),
    [
        ('tls = "yes"\n', "'yes'; true or false is accepted"),
        ('tls = true\nca = "nowhere.pem"\n', "can't be used"),
        ('tls = true\nca = "bad.pem"\n', "can't be used"),
        ('ca = "bad.pem"\n', "need tls = true"),
    ],
)
def test_tls_settings_that_can_not_be_used_are_one_line(tmp_path: Path, lines: str, words: str) -> None:
    (tmp_path / "bad.pem").write_text("-----BEGIN CERTIFICATE-----\nno\n-----END CERTIFICATE-----\n")
    file = tmp_path / "repository.toml"
    file.write_text(re.sub(r'(address = "127.0.0.1:8082"\n)', rf"\g<1>{lines}", DEPLOY))
    with pytest.raises(ConfigError, match=words) as caught:
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


def test_a_reload_takes_a_new_certificate_for_new_connections_and_keeps_the_old_on_a_bad_one(
    front: Front,
) -> None:
    first, second = trustme.CA(), trustme.CA()
    start_with_certificate(front, first)
    (front.path / "server.pem").write_text("not a certificate")
    front.program.process.send_signal(signal.SIGHUP)
    until(lambda: any("stays as it was" in x for x in front.program.lines))
    assert https_get(front, first, "/simple/")[0] == 200
    write_certificate(front, second)
    front.program.process.send_signal(signal.SIGHUP)

    def second_holds() -> bool:
        try:
            return https_get(front, second, "/simple/")[0] == 200
        except ssl.SSLError:
            return False

    until(second_holds)
    with pytest.raises(ssl.SSLError):
        https_get(front, first, "/simple/")


def test_a_client_that_never_ends_its_handshake_is_closed(front: Front) -> None:
    start_with_certificate(front, trustme.CA())
    with socket.create_connection(("127.0.0.1", front.program.port), timeout=15) as made:
        made.sendall(b"\x16\x03\x01")  # the start of a record, and then nothing
        began = time.monotonic()
        assert made.recv(100) == b""
        assert 4.0 < time.monotonic() - began < 12.0


@pytest.mark.parametrize(
    ("lines", "words"),
    [
        ('tls_certificate = "server.pem"\n', "are needed together"),
        ('tls_certificate = "server.pem"\ntls_key = "nowhere.key"\n', "nowhere.key"),
    ],
)
def test_a_front_certificate_that_can_not_be_used_is_one_line(tmp_path: Path, lines: str, words: str) -> None:
    file = tmp_path / "repository.toml"
    file.write_text(DEPLOY.replace("[[upstream]]", f"{lines}\n[[upstream]]", 1))
    with pytest.raises(ConfigError, match=words) as caught:
        load(file)
    assert "\n" not in str(caught.value)
