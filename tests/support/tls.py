"""The repository front with its own certificate, and an HTTPS client for it."""

from __future__ import annotations

import http.client
import ssl

import trustme

from hallproxy.repository import simple
from tests.support.repository_front import DEPLOY, Front


def write_certificate(front: Front, authority: trustme.CA, names: tuple[str, ...] = ("127.0.0.1",)) -> None:
    """The front's own certificate, from ``authority``, written to the paths that its configuration names."""
    issued = authority.issue_cert(*names)
    (front.path / "server.pem").write_bytes(b"".join(pem.bytes() for pem in issued.cert_chain_pems))
    issued.private_key_pem.write_to_path(str(front.path / "server.key"))


def https_get(front: Front, authority: trustme.CA, path: str) -> tuple[int, bytes]:
    context = ssl.create_default_context()
    authority.configure_trust(context)
    connection = http.client.HTTPSConnection("127.0.0.1", front.program.port, timeout=10, context=context)
    try:
        connection.request("GET", path, headers={"Accept": simple.JSON})
        response = connection.getresponse()
        return response.status, response.read()
    finally:
        connection.close()


def start_with_certificate(front: Front, authority: trustme.CA) -> None:
    write_certificate(front, authority)
    tables = 'tls_certificate = "server.pem"\ntls_key = "server.key"\n\n[[upstream]]'
    front.start(DEPLOY.replace("[[upstream]]", tables, 1))
