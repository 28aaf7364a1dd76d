"""The second front: a package repository's clients, over HTTP/1.1.

Each request takes the complete path: the core's event, the reducer and the module, an upstream repository,
the response. A file is requested only as the current index lists it, and its bytes are checked against the
digest in its URL before the first of them is sent, so a client never gets mixed bytes.
"""

from __future__ import annotations

import asyncio
import base64
import binascii
import hashlib
import hmac
import json
import socket
import ssl
import time
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from email.utils import formatdate
from functools import lru_cache
from typing import BinaryIO

from cachetools import LRUCache
from tornado.iostream import StreamClosedError

from hallproxy.broker.connection_slots import ConnectionSlots
from hallproxy.broker.networks import client_network
from hallproxy.repository import codings, ranges, simple
from hallproxy.repository.config import INDEX, PACKAGE
from hallproxy.repository.rejection import OVERLOADED, ConnectionRejecter
from hallproxy.routes import Route, Routes, Tier
from hallproxy.run.contracts import AppliedContracts
from hallproxy.run.effect_runner import EffectRunner
from hallproxy.run.log import log_line
from hallproxy.run.sockets import Buffer, Stream, TlsStream, tcp_stream, tls_server_stream
from hallproxy.state.events import (
    ClientRequest,
    DownstreamClosed,
    EventLoopLagged,
    FailureReason,
    RequestReceived,
    Response,
    ResponseKind,
)
from hallproxy.wire.http1 import Head, HttpError, decode_request_head

SECOND = 1_000_000_000  # ns
DEADLINE_SLACK = SECOND // 20  # ns of a deadline reserved for writing the response
IDLE_TIMEOUT = 30.0  # s for the next request's complete head
MAX_HEADS_PER_TURN = 8  # of one connection
FIRST_HEAD_TIMEOUT = 5.0  # s for a connection's first complete head: a silent client must not hold a slot
MAX_RENDERED_INDEX_BYTES = 16 * 1024 * 1024  # of rendered indexes in the cache
# Cache-Status (RFC 9211) of a stale index: every upstream failed, and no purge was received.
STALE_CACHE_STATUS = "hallproxy; hit; detail=stale-if-error"
RENDERED_INDEX_OVERHEAD = 256  # bytes that each entry takes beside its body
VARY = "Accept, Accept-Encoding"
MAX_UNSENT_BYTES = 96 * 1024 * 1024  # of responses to all slow clients together
WRITE_TIMEOUT = 60.0  # s for a client to receive a response, or a block of a file
FILE_BLOCK_BYTES = 262_144  # of a file from disk, in memory for each client
REASON_PHRASES = {
    200: "OK", 206: "Partial Content", 301: "Moved Permanently", 304: "Not Modified", 400: "Bad Request",
    401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 406: "Not Acceptable",
    409: "Conflict", 410: "Gone", 413: "Content Too Large", 416: "Range Not Satisfiable",
    429: "Too Many Requests", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
# HTTP status by the core's reason; 503 for reasons not listed.
STATUS_BY_REASON = {
    FailureReason.NO_CONTRACT: 403,
    FailureReason.FORBIDDEN_NETWORK: 403,
    FailureReason.OVER_BUDGET: 429,
    FailureReason.TOO_MANY_IN_FLIGHT: 429,
    FailureReason.RETRY_BUDGET: 429,
    FailureReason.IDEMPOTENCY_KEY: 409,
    FailureReason.OVERLOADED: 503,
    FailureReason.TIMEOUT: 504,
    FailureReason.UNREACHABLE: 502,
    FailureReason.CONNECTION_RESET: 502,
    FailureReason.ERROR: 502,
    FailureReason.NOT_FOUND: 404,
    FailureReason.REPLACED: 410,
}
TEXT_BY_REASON = {
    FailureReason.NO_CONTRACT: "no contract lets this team use this service",
    FailureReason.FORBIDDEN_NETWORK: "the contract does not let this team come from this network",
    FailureReason.OVER_BUDGET: "the contract's budget is used up for now",
    FailureReason.TOO_MANY_IN_FLIGHT: "the contract lets no more requests be open at once",
    FailureReason.RETRY_BUDGET: "the contract's budget of repeats is used up for now",
    FailureReason.IDEMPOTENCY_KEY: "this key is another's, or its time is over",
    FailureReason.OVERLOADED: "there is no room for this team's request in time",
    FailureReason.TIMEOUT: "the upstream repository did not answer in time",
    FailureReason.UNREACHABLE: "the upstream repository can't be reached",
    FailureReason.CONNECTION_RESET: "the upstream repository's answer broke off",
    FailureReason.ERROR: "the upstream repository's answer can't be used",
    FailureReason.NOT_FOUND: "the upstream repository does not have it",
    FailureReason.REPLACED: "the bytes that the index named are gone",
}
LINGER_TIMEOUT = 0.5  # s for which a half-closed connection is still read, ...
LINGER_POLL_INTERVAL = 0.01  # s between reads
MAX_LINGER_BYTES = 1024 * 1024  # ...and the bytes read from it
LAG_SAMPLE_INTERVAL = 0.01  # s between samples of the event loop's lag
LAG_SAMPLES_PER_EVENT = 10
USAGE_PATH = "/.use"
REREAD_INDEX = "read the index again: "  # start of the errors that ask for it


async def _linger(stream: Stream) -> None:
    """Half-close and read until the client has closed, within limits of time and bytes.

    Closing with unread bytes, as of a rejected body, would reset the connection, and the client would lose
    the response in transit. TLS ends with a message of its own, after the response.
    """
    if isinstance(stream, TlsStream):
        return
    stream.half_close()
    scratch, clock = memoryview(bytearray(16_384)), asyncio.get_running_loop().time
    deadline, dropped = clock() + LINGER_TIMEOUT, 0
    while dropped < MAX_LINGER_BYTES and clock() < deadline and not stream.closed():
        # A read that detects the client's disconnect may still be pending.
        size = stream.read_available(scratch)
        if size == 0:
            return
        dropped += size or 0
        if size is None:
            await asyncio.sleep(LINGER_POLL_INTERVAL)


class HttpResponse:
    """A response to be written. With ``file``, the body is ``size`` bytes from its current position."""

    __slots__ = ("status", "fields", "body", "file", "size")

    def __init__(
        self, status: int, body: bytes, fields: Mapping[str, str], file: BinaryIO | None = None, size: int = 0
    ) -> None:
        self.status, self.body, self.fields = status, body, fields
        self.file, self.size = file, size if file is not None else len(body)


def plain_response(status: int, text: str, **extra_fields: str) -> HttpResponse:
    fields = {"Content-Type": "text/plain; charset=utf-8", "Cache-Control": "no-store"}
    fields |= {name.replace("_", "-"): value for name, value in extra_fields.items()}
    return HttpResponse(status, f"{text}\n".encode(), fields)


@dataclass(slots=True, frozen=True)
class Requester:
    """A request's team and connection, and whether the client declares it a retry."""

    team: str
    connection: ClientConnection
    is_retry: bool


class ClientConnection:
    """One client's connection, and the connection slot that it holds until it ends."""

    __slots__ = (
        "stream",
        "address",
        "network",
        "team",
        "unsent_bytes",
        "holds_slot",
        "disconnected",
        "pending_response",
        "watch_for_disconnect",
    )

    def __init__(self, stream: Stream, address: str, network: str) -> None:
        self.stream, self.address, self.network = stream, address, network
        self.team = ""  # of the latest request
        self.unsent_bytes = 0  # of a response that the client has not received yet
        self.holds_slot = True
        self.disconnected = False  # by the client
        self.pending_response: asyncio.Future[Response] | None = None  # of the core
        self.watch_for_disconnect: Callable[[], None] = lambda: None


class RepositoryFront:
    def __init__(
        self,
        runner: EffectRunner,
        max_connections: int,
        indexes: simple.IndexCache | None = None,
        routes: Routes | None = None,
    ) -> None:
        self.runner = runner
        self.open_file: Callable[[str], BinaryIO]  # of the disk cache; unset without one
        self.routes = routes or Routes((), ())  # replaced when the deploy file is reloaded
        self.tls: ssl.SSLContext | None = None  # towards clients; a reload changes it for new connections
        self._indexes = indexes or simple.IndexCache()
        # Teams' tokens and services' projects; replaced when contracts are applied.
        self.applied = AppliedContracts()
        self._classes = {c.name: n for n, c in enumerate(runner.state.settings.classes)}
        self.slots = ConnectionSlots(max_connections)
        self.connection_rejecter = ConnectionRejecter()
        self.in_flight_requests = 0  # whose response is not written yet
        self.stopping = False
        self._unsent_bytes = 0  # of all slow clients
        self._slow_clients: set[ClientConnection] = set()  # with unsent bytes
        self._idle_connections: dict[ClientConnection, None] = {}  # longest idle first
        self._rendered_indexes: LRUCache[tuple[str, ...], tuple[bytes, str]] = LRUCache(
            MAX_RENDERED_INDEX_BYTES, getsizeof=lambda rendered: len(rendered[0]) + RENDERED_INDEX_OVERHEAD
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Serve the connection if there are a slot and time for it; else reject it with a Retry-After."""
        address, now = peer[0], self.runner.now()
        network, tls = client_network(address), self.tls
        if not self.slots.try_connect(network, now):
            if not self._evict_idle(network) or not self.slots.try_connect(network, now):
                return self.connection_rejecter.reject(sock, tls is None)
        if not self.slots.admit_request(network, now):  # its first request
            self.slots.disconnect(network)
            return self.connection_rejecter.reject(sock, tls is None)
        try:
            stream = tcp_stream(sock) if tls is None else tls_server_stream(sock, tls)
        except (OSError, ValueError):
            self.slots.disconnect(network)
            return sock.close()
        connection = ClientConnection(stream, address, network)
        task = asyncio.get_running_loop().create_task(self._serve(connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _release_slot(self, connection: ClientConnection) -> None:
        if connection.holds_slot:
            connection.holds_slot = False
            self.slots.disconnect(connection.network)

    def _evict_idle(self, network: str) -> bool:
        """Close the longest idle connection of a network above its share, for one of a network below it."""
        if self.slots.exceeds_share(network):
            return False
        return self._close_idle(
            next((c for c in self._idle_connections if self.slots.exceeds_share(c.network)), None)
        )

    def close_idle(self) -> bool:
        """Close the longest idle connection of any network; return whether there was one."""
        return self._close_idle(next(iter(self._idle_connections), None))

    def _close_idle(self, connection: ClientConnection | None) -> bool:
        if connection is None:
            return False
        del self._idle_connections[connection]
        self._release_slot(connection)  # its task ends a little later
        connection.stream.close()
        return True

    async def measure_lag(self) -> None:
        """Sample how late a timer fires: a lagging event loop shows that the process is overloaded."""
        running_loop = asyncio.get_running_loop()
        while True:
            total_lag = 0
            for _ in range(LAG_SAMPLES_PER_EVENT):
                due_at = running_loop.time() + LAG_SAMPLE_INTERVAL
                await asyncio.sleep(LAG_SAMPLE_INTERVAL)
                lag = int(max(0.0, running_loop.time() - due_at) * SECOND)
                self.slots.event_loop_lagged(lag, self.runner.now())
                total_lag += lag
            self.runner.dispatch(EventLoopLagged(self.runner.now(), total_lag // LAG_SAMPLES_PER_EVENT))

    async def close(self) -> None:
        """Close the remaining connections; to be called once the requests in flight are answered."""
        self.connection_rejecter.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, connection: ClientConnection) -> None:
        reader, head_timeout = _RequestReader(connection.stream), FIRST_HEAD_TIMEOUT
        try:
            if isinstance(connection.stream, TlsStream):
                # Within the first head's timeout: a client that never ends a handshake must not hold a slot.
                await asyncio.wait_for(connection.stream.wait_for_handshake(), FIRST_HEAD_TIMEOUT)
            while True:
                self._idle_connections[connection] = None
                try:
                    head = await reader.head(head_timeout)
                    if head.chunked or head.body_length:
                        raise HttpError("a request with a body")
                except HttpError as error:
                    await self._write(connection, plain_response(400, str(error)), False, False)
                    return await _linger(connection.stream)
                self._idle_connections.pop(connection, None)
                if head_timeout == IDLE_TIMEOUT and not self.slots.admit_request(
                    connection.network, self.runner.now()
                ):
                    # Not the first request, which was counted when the connection was accepted.
                    connection.stream.write_pieces([OVERLOADED])
                    continue
                self.in_flight_requests, head_timeout = self.in_flight_requests + 1, IDLE_TIMEOUT
                try:
                    response = await self._answer_until_disconnect(reader, head, connection)
                    keep_alive = head.keep_alive and not self.stopping
                    await self._write(connection, response, head.method == "HEAD", keep_alive)
                finally:
                    self.in_flight_requests -= 1
                    self.slots.request_finished()
                if not keep_alive:
                    return await _linger(connection.stream)
        except (StreamClosedError, OSError, TimeoutError, ssl.SSLError):
            pass
        finally:
            self._idle_connections.pop(connection, None)
            self._release_slot(connection)
            connection.stream.close()

    async def _answer_until_disconnect(
        self, reader: _RequestReader, head: Head, connection: ClientConnection
    ) -> HttpResponse:
        """The response; if the client disconnects meanwhile, its pending request to the core is cancelled."""
        reads: list[asyncio.Future[None]] = []

        def reading_ended(done: asyncio.Future[None]) -> None:
            # A pipelined request stays in the buffer; an error means that the client has disconnected.
            if done.cancelled() or done.exception() is not None:
                connection.disconnected = True
                if connection.pending_response is not None and not connection.pending_response.done():
                    connection.pending_response.set_exception(StreamClosedError())

        def watch_for_disconnect() -> None:
            # Only while the core's response is pending: most come from memory, at once.
            if not reads:
                reads.append(reader.read_ahead())
                reads[0].add_done_callback(reading_ended)

        connection.watch_for_disconnect = watch_for_disconnect
        try:
            return await self._answer(head, connection)
        finally:
            for read in reads:
                read.remove_done_callback(reading_ended)

    async def _answer(self, head: Head, connection: ClientConnection) -> HttpResponse:
        if head.method not in ("GET", "HEAD"):
            return plain_response(405, "only GET and HEAD are served", Allow="GET, HEAD")
        if head.target == USAGE_PATH:
            return self._usage_response(head)
        target = simple.parse_target(head.target)
        if target is None:
            return plain_response(404, "nothing is served here")
        if target.redirect_path:
            return plain_response(301, target.redirect_path, Location=target.redirect_path)
        team = self._authenticate(head)
        if team is None:
            return plain_response(
                401, "a team and its token are needed", WWW_Authenticate='Basic realm="hallproxy"'
            )
        connection.team = team
        requester = Requester(team, connection, head.fields.get("retry-attempt", "0") not in ("", "0"))
        media = simple.choose_media_type(head.fields.get("accept", ""))
        coding = codings.choose(head.fields.get("accept-encoding"))
        if not target.file and media is None:
            return plain_response(
                406, f"indexes are served as {simple.JSON}, {simple.HTML} and {simple.PLAIN_HTML}"
            )
        if coding is None:
            if not target.file:
                return plain_response(406, "indexes are served in gzip or with no coding", Vary=VARY)
            coding = codings.IDENTITY  # files have no other coding: a 406 would help nobody
        started_at = self.runner.now()
        path = f"/simple/{target.project}/" if target.project else "/simple/"
        route = self.routes.find(simple.normalize_name(target.project) if target.project else "")
        core_response, tier = await self._request_index(requester, target, route, path, started_at)
        if core_response.kind is not ResponseKind.SERVED:
            return self._error_response(core_response, "")
        small = len(core_response.body) < simple.LARGE_INDEX_BYTES
        if small or self._indexes.get(core_response.etag) is not None:
            index = simple.unpack_index(core_response.body, target.project, core_response.etag, self._indexes)
        else:
            index = await asyncio.to_thread(
                simple.unpack_index, core_response.body, target.project, core_response.etag, self._indexes
            )
        if not target.file:
            media = media or simple.PLAIN_HTML
            body, tag = await self._render(core_response, index, media, coding)
            return self._index_response(core_response, media, coding, head, body, tag)
        return await self._file_response(requester, target, index, head, started_at, path, tier)

    async def _request_index(
        self, requester: Requester, target: simple.Target, route: Route, path: str, started_at: int
    ) -> tuple[Response, Tier]:
        """The index from the first tier of the route that does not lack it, and that tier."""
        tier_index = 0
        while True:
            tier = route.tiers[tier_index]
            response = await self._request(requester, target, INDEX, path, started_at, tier=tier)
            not_found = response.reason is FailureReason.NOT_FOUND
            next_index = (
                None
                if response.kind is ResponseKind.SERVED
                else route.next_tier(tier_index, not_found=not_found)
            )
            if next_index is None:
                return response, tier
            tier_index = next_index

    def _index_response(
        self, core_response: Response, media: str, coding: str, head: Head, body: bytes, tag: str
    ) -> HttpResponse:
        # no-cache: a client must revalidate its own copy each time, or it could outlive a purge.
        fields = {
            "ETag": f'"{tag}"',
            "Cache-Control": "no-cache",
            "Vary": VARY,
            "Age": self._age(core_response),
        }
        if core_response.stale:
            fields["Cache-Status"] = STALE_CACHE_STATUS
        if simple.matches_etag(tag, head.fields.get("if-none-match", "")):
            return HttpResponse(304, b"", fields)
        fields["Content-Type"] = f"{media}; charset=utf-8" if "html" in media else media
        if coding != codings.IDENTITY:
            fields["Content-Encoding"] = coding
        return HttpResponse(200, body, fields)

    async def _render(
        self, core_response: Response, index: simple.Index, media: str, coding: str
    ) -> tuple[bytes, str]:
        """An index in a media type and coding, and its tag; cached by the digest of the packed index."""
        key = (core_response.etag, index.project, media, coding)
        rendered: tuple[bytes, str] | None = self._rendered_indexes.get(key)
        if rendered is None:
            if len(core_response.body) < simple.LARGE_INDEX_BYTES:
                rendered = _render_encoded(index, media, coding)
            else:
                rendered = await asyncio.to_thread(_render_encoded, index, media, coding)
            if len(rendered[0]) + RENDERED_INDEX_OVERHEAD <= MAX_RENDERED_INDEX_BYTES:
                self._rendered_indexes[key] = rendered
        return rendered

    async def _file_response(
        self,
        requester: Requester,
        target: simple.Target,
        index: simple.Index,
        head: Head,
        started_at: int,
        path: str,
        tier: Tier,
    ) -> HttpResponse:
        file = index.file(target.file)
        link = f'<{path}>; rel="index"'
        file_name = target.file + (simple.METADATA_SUFFIX if target.is_metadata else "")
        if file is None or (target.is_metadata and not file.metadata):
            return plain_response(404, f"{REREAD_INDEX}{path} names no {file_name}", Link=link)
        if file.digest != target.digest:
            # The index was replaced after the client had read it.
            return plain_response(
                410, f"{REREAD_INDEX}{path} names other bytes for {target.file} now", Link=link
            )
        digest = file.metadata if target.is_metadata else file.digest
        url = simple.metadata_url(file.url) if target.is_metadata else file.url
        tag = digest if simple.matches_etag(digest, head.fields.get("if-none-match", "")) else ""
        size = 0 if target.is_metadata else file.size or 0
        core_response = await self._request(
            requester, target, PACKAGE, url, started_at, tag, size / 1000, digest, tier
        )
        if core_response.kind is not ResponseKind.SERVED:
            if core_response.reason in (FailureReason.NOT_FOUND, FailureReason.REPLACED):
                return plain_response(
                    410, f"{REREAD_INDEX}{path} ({TEXT_BY_REASON[core_response.reason]})", Link=link
                )
            return self._error_response(core_response, path)
        fields = {"ETag": f'"{digest}"', "Cache-Control": "no-cache", "Age": self._age(core_response)}
        fields["Accept-Ranges"] = "bytes"
        if core_response.not_modified:
            return HttpResponse(304, b"", fields)
        fields["Content-Type"] = "application/octet-stream"
        range_field = head.fields.get("range", "") if head.method == "GET" else ""
        size = core_response.size if core_response.stored_file else len(core_response.body)
        status, first, end = 200, 0, size
        if range_field and ranges.if_range_matches(head.fields.get("if-range", ""), digest):
            byte_range = ranges.requested_range(range_field, size)
            if isinstance(byte_range, ranges.Unsatisfiable):
                extra_fields = {"Content-Range": f"bytes */{size}", "Accept-Ranges": "bytes"}
                return plain_response(416, "no byte of it lies in that range", **extra_fields)
            if byte_range is not None:
                fields["Content-Range"] = byte_range.content_range
                status, first, end = 206, byte_range.first, byte_range.end
        if not core_response.stored_file:
            return HttpResponse(
                status, core_response.body[first:end] if status == 206 else core_response.body, fields
            )
        try:
            opened = await asyncio.to_thread(self.open_file, core_response.stored_file)
            opened.seek(first)
        except OSError:  # removed from the cache since the core's response
            return plain_response(503, "the file is not kept any more: ask again", Retry_After="1")
        return HttpResponse(status, b"", fields, opened, end - first)

    def _age(self, response: Response) -> str:
        return str(max(0, self.runner.now() - response.generated_at) // SECOND)

    def _error_response(self, response: Response, path: str) -> HttpResponse:
        status = STATUS_BY_REASON.get(response.reason, 503)
        text = TEXT_BY_REASON.get(response.reason, "the gateway has no room for it now")
        fields = {}
        if response.retry_after and status in (429, 502, 503, 504):
            fields["Retry_After"] = str(-(-response.retry_after // SECOND))
        return plain_response(status, f"{text}{f' ({path})' if path else ''}", **fields)

    async def _request(
        self,
        requester: Requester,
        target: simple.Target,
        class_name: str,
        name: str,
        started_at: int,
        client_etag: str = "",
        size_kb: float = 0.0,
        digest: str = "",
        tier: Tier | None = None,
    ) -> Response:
        """Make one request to the core. All requests for a client's request share its deadline.

        ``tier``: the upstreams that may answer it. Each tier's index is a separate part, so that one tier's
        copy or "not found" is never used for another; a file is one part by its bytes, whatever its upstream.
        """
        class_index = self._classes[class_name]
        deadline = self.runner.state.settings.classes[class_index].deadline
        obj = simple.object_id(target.project)
        # A part is a file by its bytes: another digest under the same name is another part.
        part = int(hashlib.sha256(f"{target.file}={digest}".encode()).hexdigest()[:12], 16) if digest else 0
        allowed_endpoints: frozenset[bytes] = frozenset()
        if tier is not None and tier.part:
            allowed_endpoints = frozenset(u.encode() for u in tier.upstreams)
            part = part or tier.part
        client_request = ClientRequest(
            request_id="",
            class_index=class_index,
            time_left=max(0, started_at + deadline - DEADLINE_SLACK - self.runner.now()),
            object=obj,
            name=name,
            part=part,
            group=obj & 0xFF,
            size_kb=size_kb,
            client_etag=client_etag,
            team=requester.team,
            client_address=requester.connection.address,
            is_retry=requester.is_retry,
            service=self.applied.service_of(target.project),
            digest=digest,
            allowed_endpoints=allowed_endpoints,
        )
        if requester.connection.disconnected:
            raise StreamClosedError()
        future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        requester.connection.pending_response = future
        downstream = self.runner.register_downstream(
            lambda response: None if future.done() else future.set_result(response)
        )
        self.runner.dispatch(RequestReceived(self.runner.now(), downstream, client_request))
        try:
            if not future.done():
                requester.connection.watch_for_disconnect()
            return await future
        finally:
            requester.connection.pending_response = None
            if self.runner.response_callbacks.pop(downstream, None) is not None:  # cancelled
                self.runner.dispatch(DownstreamClosed(self.runner.now(), downstream))

    def _authenticate(self, head: Head) -> str | None:
        """The team whose token the request carries; empty without contracts; None: not authenticated."""
        if self.runner.state.broker is None:
            return ""
        scheme, _, credentials = head.fields.get("authorization", "").partition(" ")
        try:
            team, _, token = base64.b64decode(credentials, validate=True).decode().partition(":")
        except (binascii.Error, ValueError):
            return None
        token_digest = hashlib.sha256(token.encode()).hexdigest()
        expected_digest = self.applied.tokens.get(team, "")
        return (
            team
            if scheme.lower() == "basic"
            and expected_digest
            and hmac.compare_digest(token_digest, expected_digest)
            else None
        )

    def _usage_response(self, head: Head) -> HttpResponse:
        """A team's usage of its contracts; for operators, all teams' and the connection slots."""
        broker = self.runner.state.broker
        if broker is None:
            return plain_response(404, "no contracts are kept here")
        team = self._authenticate(head)
        if team is None:
            return plain_response(
                401, "a team and its token are needed", WWW_Authenticate='Basic realm="hallproxy"'
            )
        is_operator = broker.contracts.team(team).operator
        report = broker.report(self.runner.now(), "" if is_operator else team)
        if is_operator:
            report["places"] = self.slots.report() | {"turned_away": self.connection_rejecter.count}
        fields = {"Content-Type": "application/json", "Cache-Control": "no-store"}
        return HttpResponse(200, json.dumps(report).encode(), fields)

    async def _write(
        self, connection: ClientConnection, response: HttpResponse, head_only: bool, keep_alive: bool
    ) -> None:
        lines = [f"HTTP/1.1 {response.status} {REASON_PHRASES[response.status]}"]
        lines += [f"{name}: {value}" for name, value in response.fields.items()]
        lines.append(f"Date: {_date(int(time.time()))}")
        if response.status != 304:
            lines.append(f"Content-Length: {response.size}")
        if not keep_alive:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode()
        stream = connection.stream
        if response.file is not None:
            with response.file:
                stream.write_pieces([head])
                await self._drain(connection)
                remaining = 0 if head_only else response.size
                while remaining:
                    # Block by block: a slow client takes one block of memory and an open file.
                    block = await asyncio.to_thread(response.file.read, min(remaining, FILE_BLOCK_BYTES))
                    if not block:
                        raise StreamClosedError()  # truncated on disk: the client sees a broken connection
                    remaining -= len(block)
                    stream.write_pieces([block])
                    await self._drain(connection)
            return
        stream.write_pieces([head] if head_only or not response.body else [head, response.body])
        await self._drain(connection)

    async def _drain(self, connection: ClientConnection) -> None:
        """Wait until the client has received all of the response."""
        stream = connection.stream
        if not stream.writing():
            return
        # Backpressure: the next request is not read before this response is written.
        connection.unsent_bytes = stream.unsent_bytes
        self._unsent_bytes += connection.unsent_bytes
        self._slow_clients.add(connection)
        try:
            self._shed_slow_clients()
            await asyncio.wait_for(stream.write(b""), WRITE_TIMEOUT)
        except TimeoutError:
            log_line("repository: closed a client's connection: the client did not read its response in time")
            raise
        finally:
            self._slow_clients.discard(connection)
            self._unsent_bytes -= connection.unsent_bytes

    def _shed_slow_clients(self) -> None:
        """Above the limit, the team with the most unsent bytes, and no other, loses its largest response."""
        while self._unsent_bytes > MAX_UNSENT_BYTES and self._slow_clients:
            by_team: Counter[str] = Counter()
            for connection in self._slow_clients:
                by_team[connection.team] += connection.unsent_bytes
            largest_team = by_team.most_common(1)[0][0]
            slow = max(
                (c for c in self._slow_clients if c.team == largest_team), key=lambda c: c.unsent_bytes
            )
            log_line(
                "repository: closed a slow client's connection: too many bytes are unsent to slow clients"
            )
            self._slow_clients.discard(slow)
            self._unsent_bytes -= slow.unsent_bytes
            slow.unsent_bytes = 0
            slow.stream.close()


@lru_cache(maxsize=2)
def _date(second: int) -> str:
    """The Date field, formatted once a second."""
    return formatdate(second, usegmt=True)


def _render_encoded(index: simple.Index, media: str, coding: str) -> tuple[bytes, str]:
    body = codings.encode(simple.render(index, media), coding)
    return body, hashlib.sha256(body).hexdigest()


class _RequestReader:
    """Reads requests from one connection. At most one read runs; it may outlive the request that began it."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._buffer = Buffer(4096)
        self._reading: asyncio.Future[None] | None = None
        self._searched = 0  # bytes of the next head in which its end was not found
        self._heads_left = MAX_HEADS_PER_TURN  # in this connection's turn

    async def _end_turn(self) -> None:
        """Let the other connections have their turn once this one's is over.

        A client that sends ahead always has bytes to read, so that reading alone never waits.
        """
        self._heads_left -= 1
        if self._heads_left <= 0:
            self._heads_left = MAX_HEADS_PER_TURN
            await asyncio.sleep(0)

    def read_ahead(self) -> asyncio.Future[None]:
        """The running read, else a new one. It detects a disconnect while a response is being prepared."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.ensure_future(self._buffer.fill(self._stream, 2048))
            self._reading.add_done_callback(lambda done: done.cancelled() or done.exception())
        return self._reading

    async def head(self, timeout: float) -> Head:
        """The next request's head; TimeoutError if it is not complete within ``timeout`` seconds."""
        clock = asyncio.get_running_loop().time
        deadline = clock() + timeout
        await self._end_turn()
        while True:
            # Nothing is removed from the buffer while a read writes into it.
            if self._reading is None or self._reading.done():
                head = decode_request_head(self._buffer.data, self._buffer.filled, self._searched)
                if head is not None:
                    self._buffer.discard(head.size)
                    self._searched = 0
                    return head
                self._searched = self._buffer.filled
                if self._reading is not None and self._reading.exception() is not None:
                    self._reading.result()
                self._reading = None
                # Not a separate task: most heads have arrived already.
                await self._buffer.fill(self._stream, 2048, deadline - clock())
            else:
                await asyncio.wait((self._reading,), timeout=max(0.0, deadline - clock()))
                if not self._reading.done():
                    raise TimeoutError
