"""The second front: a package repository's clients, over HTTP/1.1.

Each answer takes the whole path: request, the core's event, the reducer and the module, an upstream
repository, the answer. A file is asked for only by what the index names now, and its bytes are checked
against the digest in its URL before the first of them goes out, so a client never gets mixed bytes.
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

SECOND = 1_000_000_000
SLACK = SECOND // 20  # ns kept back of a deadline for writing the answer
IDLE = 30.0  # s that a connection waits for its next request, and for the rest of its head
FIRST_IN = 5.0  # s for a connection's first whole head: who says nothing must not hold a place
MAX_RENDERED_INDEX_BYTES = 16 * 1024 * 1024  # bytes of indexes kept in the forms they were served in
STALE = "hallproxy; hit; detail=stale-if-error"  # RFC 9211; every upstream failed, no purge was heard
FORM = 256  # bytes that each takes beside its body
VARY = "Accept, Accept-Encoding"
UNSENT_MOST = 96 * 1024 * 1024  # bytes waiting for slow clients, all together
WRITE = 60.0  # s for a client to take an answer, or a block of a file
BLOCK = 262_144  # bytes of a file from disk in memory for each client
PHRASES = {
    200: "OK", 206: "Partial Content", 301: "Moved Permanently", 304: "Not Modified", 400: "Bad Request",
    401: "Unauthorized", 403: "Forbidden", 404: "Not Found", 405: "Method Not Allowed", 406: "Not Acceptable",
    409: "Conflict", 410: "Gone", 413: "Content Too Large", 416: "Range Not Satisfiable",
    429: "Too Many Requests", 502: "Bad Gateway", 503: "Service Unavailable", 504: "Gateway Timeout",
}  # fmt: skip
# What the core's reasons are in HTTP. What is merely busy, or not said, is a 503.
STATUS = {
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
WORDS = {
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
LINGER_FOR = 0.5  # s that a connection whose writing has ended is read on...
LINGER_LOOK = 0.01  # s between looks at what has come
LINGER_BYTES = 1024 * 1024  # ...or so many bytes
LAG_EVERY = 0.01  # s between looks at how late the process is, ...
LAG_TOLD = 10  # ...so many of which the core is told together
USE_PATH = "/.use"
BACK = "read the index again: "  # how an error sends a client back


async def _linger(made: Stream) -> None:
    """End the writing and read on until the client has closed, for a while and so many bytes at most.

    Closing over unread bytes, as of a body that is not wanted, would reset the connection and take the answer
    with it that is on its way. TLS ends by a message of its own, behind the answer.
    """
    if isinstance(made, TlsStream):
        return
    made.half_close()
    scratch, clock = memoryview(bytearray(16_384)), asyncio.get_running_loop().time
    until, dropped = clock() + LINGER_FOR, 0
    while dropped < LINGER_BYTES and clock() < until and not made.closed():
        size = made.read_available(
            scratch
        )  # a read that looks out for the client's leaving may still be waiting
        if size == 0:
            return
        dropped += size or 0
        if size is None:
            await asyncio.sleep(LINGER_LOOK)


class HttpResponse:
    """An answer to be written. With ``file``, ``size`` bytes of it from where it stands are the body."""

    __slots__ = ("status", "fields", "body", "file", "size")

    def __init__(
        self, status: int, body: bytes, fields: Mapping[str, str], file: BinaryIO | None = None, size: int = 0
    ) -> None:
        self.status, self.body, self.fields = status, body, fields
        self.file, self.size = file, size if file is not None else len(body)


def plain(status: int, text: str, **more: str) -> HttpResponse:
    fields = {"Content-Type": "text/plain; charset=utf-8", "Cache-Control": "no-store"}
    fields |= {name.replace("_", "-"): value for name, value in more.items()}
    return HttpResponse(status, f"{text}\n".encode(), fields)


@dataclass(slots=True, frozen=True)
class Who:
    """Who asks: the team, where from, and whether the client has asked for the same before."""

    team: str
    seat: Seat
    repeat: bool


class Seat:
    """One client's connection: whose it is, and the place that it holds until it ends."""

    __slots__ = ("made", "address", "network", "team", "unsent", "held", "gone", "waits", "watch")

    def __init__(self, made: Stream, address: str, network: str) -> None:
        self.made, self.address, self.network = made, address, network
        self.team = ""  # of the latest request
        self.unsent = 0  # bytes that the client has not taken yet
        self.held = True
        self.gone = False  # the client has left
        self.waits: asyncio.Future[Response] | None = None  # the core's answer that is waited for
        self.watch: Callable[[], None] = lambda: None  # look out for the client's leaving


class Repository:
    def __init__(
        self,
        loop: EffectRunner,
        most: int,
        indexes: simple.Remembered | None = None,
        routes: Routes | None = None,
    ) -> None:
        self.loop = loop
        self.open_file: Callable[[str], BinaryIO]  # of files kept on disk, where there are any
        self.routes = routes or Routes((), ())  # read anew with the deploy file
        self.tls: ssl.SSLContext | None = None  # towards clients; a reload's is for new connections
        self._indexes = indexes or simple.Remembered()
        # Teams' tokens and services' projects; read anew with the contracts.
        self.applied = AppliedContracts()
        self._classes = {c.name: n for n, c in enumerate(loop.state.settings.classes)}
        self.places = ConnectionSlots(most)
        self.connection_rejecter = ConnectionRejecter()
        self.busy = 0  # requests taken whose answer has not left
        self.stopping = False
        self._unsent = 0  # bytes of answers that clients have not taken yet
        self._slow: set[Seat] = set()  # connections with such bytes
        self._idle: dict[Seat, None] = {}  # connections with nothing asked, the longest idle first
        self._forms: LRUCache[tuple[str, ...], tuple[bytes, str]] = LRUCache(
            MAX_RENDERED_INDEX_BYTES, getsizeof=lambda made: len(made[0]) + FORM
        )
        self._tasks: set[asyncio.Task[None]] = set()

    def accept(self, sock: socket.socket, peer: tuple[str, int]) -> None:
        """Take a connection if there is a place and time for it; else it is told when to come back."""
        address, now = peer[0], self.loop.now()
        network, tls = client_network(address), self.tls
        if not self.places.try_connect(network, now):
            if not self._make_room(network) or not self.places.try_connect(network, now):
                return self.connection_rejecter.reject(sock, tls is None)
        if not self.places.admit_request(network, now):  # a connection is opened to ask
            self.places.disconnect(network)
            return self.connection_rejecter.reject(sock, tls is None)
        try:
            made = tcp_stream(sock) if tls is None else tls_server_stream(sock, tls)
        except (OSError, ValueError):
            self.places.disconnect(network)
            return sock.close()
        seat = Seat(made, address, network)
        task = asyncio.get_running_loop().create_task(self._serve(seat))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _leave(self, seat: Seat) -> None:
        if seat.held:
            seat.held = False
            self.places.disconnect(seat.network)

    def _make_room(self, network: str) -> bool:
        """Close the connection that has idled longest, of a network over its share, for one under it."""
        if self.places.exceeds_share(network):
            return False
        return self._close_idle(next((s for s in self._idle if self.places.exceeds_share(s.network)), None))

    def close_idle(self) -> bool:
        """Close the connection that has idled longest, whoever's it is; whether there was one."""
        return self._close_idle(next(iter(self._idle), None))

    def _close_idle(self, seat: Seat | None) -> bool:
        if seat is None:
            return False
        del self._idle[seat]
        self._leave(seat)  # its task ends a little later
        seat.made.close()
        return True

    async def watch_lag(self) -> None:
        """How late the process is for a timer of its own: the sign that the core's time runs short."""
        running = asyncio.get_running_loop()
        while True:
            late = 0
            for _ in range(LAG_TOLD):
                due = running.time() + LAG_EVERY
                await asyncio.sleep(LAG_EVERY)
                lag = int(max(0.0, running.time() - due) * SECOND)
                self.places.event_loop_lagged(lag, self.loop.now())
                late += lag
            self.loop.dispatch(EventLoopLagged(self.loop.now(), late // LAG_TOLD))

    async def close(self) -> None:
        """End the connections that are left, once all that was taken is answered."""
        self.connection_rejecter.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, seat: Seat) -> None:
        reader, wait = _Reader(seat.made), FIRST_IN
        try:
            if isinstance(seat.made, TlsStream):
                # Within the time for the first head: who never ends a handshake must not hold a place.
                await asyncio.wait_for(seat.made.wait_for_handshake(), FIRST_IN)
            while True:
                self._idle[seat] = None
                try:
                    head = await reader.head(wait)
                    if head.chunked or head.body_length:
                        raise HttpError("a request with a body")
                except HttpError as error:
                    await self._write(seat, plain(400, str(error)), False, False)
                    return await _linger(seat.made)
                self._idle.pop(seat, None)
                if wait == IDLE and not self.places.admit_request(seat.network, self.loop.now()):
                    # Not the first one, which was counted when the connection was taken.
                    seat.made.write_pieces([OVERLOADED])
                    continue
                self.busy, wait = self.busy + 1, IDLE
                try:
                    response = await self._answer_or_leave(reader, head, seat)
                    keeps = head.keep_alive and not self.stopping
                    await self._write(seat, response, head.method == "HEAD", keeps)
                finally:
                    self.busy -= 1
                    self.places.request_finished()
                if not keeps:
                    return await _linger(seat.made)
        except (StreamClosedError, OSError, TimeoutError, ssl.SSLError):
            pass
        finally:
            self._idle.pop(seat, None)
            self._leave(seat)
            seat.made.close()

    async def _answer_or_leave(self, reader: _Reader, head: Head, seat: Seat) -> HttpResponse:
        """The answer; if the client leaves while it is made, what is out for it is given up too."""
        watched: list[asyncio.Future[None]] = []

        def left(done: asyncio.Future[None]) -> None:
            # A request sent ahead just waits; a break is the client's leaving.
            if done.cancelled() or done.exception() is not None:
                seat.gone = True
                if seat.waits is not None and not seat.waits.done():
                    seat.waits.set_exception(StreamClosedError())

        def watch() -> None:
            # Only where the core's answer has to be waited for: most come from memory, at once.
            if not watched:
                watched.append(reader.ahead())
                watched[0].add_done_callback(left)

        seat.watch = watch
        try:
            return await self._answer(head, seat)
        finally:
            for ahead in watched:
                ahead.remove_done_callback(left)

    async def _answer(self, head: Head, seat: Seat) -> HttpResponse:
        if head.method not in ("GET", "HEAD"):
            return plain(405, "only GET and HEAD are served", Allow="GET, HEAD")
        if head.target == USE_PATH:
            return self._use(head)
        wanted = simple.read_target(head.target)
        if wanted is None:
            return plain(404, "nothing is served here")
        if wanted.moved:
            return plain(301, wanted.moved, Location=wanted.moved)
        team = self._team(head)
        if team is None:
            return plain(401, "a team and its token are needed", WWW_Authenticate='Basic realm="hallproxy"')
        seat.team = team
        who = Who(team, seat, head.fields.get("retry-attempt", "0") not in ("", "0"))
        media = simple.choose(head.fields.get("accept", ""))
        coding = codings.choose(head.fields.get("accept-encoding"))
        if not wanted.file and media is None:
            return plain(406, f"indexes are served as {simple.JSON}, {simple.HTML} and {simple.PLAIN_HTML}")
        if coding is None:
            if not wanted.file:
                return plain(406, "indexes are served in gzip or with no coding", Vary=VARY)
            coding = codings.IDENTITY  # a file has no other form: refusing it would help nobody
        began = self.loop.now()
        path = f"/simple/{wanted.project}/" if wanted.project else "/simple/"
        route = self.routes.find(simple.normal(wanted.project) if wanted.project else "")
        said, tier = await self._walk(who, wanted, route, path, began)
        if said.kind is not ResponseKind.SERVED:
            return self._error(said, "")
        small = len(said.body) < simple.LARGE
        if small or self._indexes.get(said.etag) is not None:
            index = simple.unpack_index(said.body, wanted.project, said.etag, self._indexes)
        else:
            index = await asyncio.to_thread(
                simple.unpack_index, said.body, wanted.project, said.etag, self._indexes
            )
        if not wanted.file:
            media = media or simple.PLAIN_HTML
            body, tag = await self._rendered(said, index, media, coding)
            return self._index(said, media, coding, head, body, tag)
        return await self._file(who, wanted, index, head, began, path, tier)

    async def _walk(
        self, who: Who, wanted: simple.Wanted, route: Route, path: str, began: int
    ) -> tuple[Response, Tier]:
        """The index from the first tier of the route that does not plainly lack it; the tier it came from."""
        place = 0
        while True:
            tier = route.tiers[place]
            said = await self._ask(who, wanted, INDEX, path, began, tier=tier)
            absent = said.reason is FailureReason.NOT_FOUND
            went_on = None if said.kind is ResponseKind.SERVED else route.next_tier(place, not_found=absent)
            if went_on is None:
                return said, tier
            place = went_on

    def _index(
        self, said: Response, media: str, coding: str, head: Head, body: bytes, tag: str
    ) -> HttpResponse:
        # no-cache: a client's own copy must be asked about each time, or it could outlive a purge.
        fields = {"ETag": f'"{tag}"', "Cache-Control": "no-cache", "Vary": VARY, "Age": self._age(said)}
        if said.stale:
            fields["Cache-Status"] = STALE
        if simple.same(tag, head.fields.get("if-none-match", "")):
            return HttpResponse(304, b"", fields)
        fields["Content-Type"] = f"{media}; charset=utf-8" if "html" in media else media
        if coding != codings.IDENTITY:
            fields["Content-Encoding"] = coding
        return HttpResponse(200, body, fields)

    async def _rendered(
        self, said: Response, index: simple.Index, media: str, coding: str
    ) -> tuple[bytes, str]:
        """An index in one form and coding, and its tag; kept by the digest of what it was made from."""
        place = (said.etag, index.project, media, coding)
        made: tuple[bytes, str] | None = self._forms.get(place)
        if made is None:
            if len(said.body) < simple.LARGE:
                made = _form(index, media, coding)
            else:
                made = await asyncio.to_thread(_form, index, media, coding)
            if len(made[0]) + FORM <= MAX_RENDERED_INDEX_BYTES:
                self._forms[place] = made
        return made

    async def _file(
        self,
        who: Who,
        wanted: simple.Wanted,
        index: simple.Index,
        head: Head,
        began: int,
        path: str,
        tier: Tier,
    ) -> HttpResponse:
        file = index.file(wanted.file)
        link = f'<{path}>; rel="index"'
        named = wanted.file + (simple.METADATA if wanted.metadata else "")
        if file is None or (wanted.metadata and not file.metadata):
            return plain(404, f"{BACK}{path} names no {named}", Link=link)
        if file.digest != wanted.digest:
            # The index was replaced while the client was halfway through the one it holds.
            return plain(410, f"{BACK}{path} names other bytes for {wanted.file} now", Link=link)
        digest = file.metadata if wanted.metadata else file.digest
        url = simple.metadata_url(file.url) if wanted.metadata else file.url
        tag = digest if simple.same(digest, head.fields.get("if-none-match", "")) else ""
        size = 0 if wanted.metadata else file.size or 0
        said = await self._ask(who, wanted, PACKAGE, url, began, tag, size / 1000, digest, tier)
        if said.kind is not ResponseKind.SERVED:
            if said.reason in (FailureReason.NOT_FOUND, FailureReason.REPLACED):
                return plain(410, f"{BACK}{path} ({WORDS[said.reason]})", Link=link)
            return self._error(said, path)
        fields = {"ETag": f'"{digest}"', "Cache-Control": "no-cache", "Age": self._age(said)}
        fields["Accept-Ranges"] = "bytes"
        if said.not_modified:
            return HttpResponse(304, b"", fields)
        fields["Content-Type"] = "application/octet-stream"
        asked = head.fields.get("range", "") if head.method == "GET" else ""
        size = said.size if said.stored_file else len(said.body)
        status, first, end = 200, 0, size
        if asked and ranges.still_holds(head.fields.get("if-range", ""), digest):
            part = ranges.wanted(asked, size)
            if isinstance(part, ranges.Unsatisfiable):
                told = {"Content-Range": f"bytes */{size}", "Accept-Ranges": "bytes"}
                return plain(416, "no byte of it lies in that range", **told)
            if part is not None:
                fields["Content-Range"] = part.told
                status, first, end = 206, part.first, part.end
        if not said.stored_file:
            return HttpResponse(status, said.body[first:end] if status == 206 else said.body, fields)
        try:
            opened = await asyncio.to_thread(self.open_file, said.stored_file)
            opened.seek(first)
        except OSError:  # it has left the directory between the answer and now
            return plain(503, "the file is not kept any more: ask again", Retry_After="1")
        return HttpResponse(status, b"", fields, opened, end - first)

    def _age(self, said: Response) -> str:
        return str(max(0, self.loop.now() - said.generated_at) // SECOND)

    def _error(self, said: Response, path: str) -> HttpResponse:
        status = STATUS.get(said.reason, 503)
        text = WORDS.get(said.reason, "the gateway has no room for it now")
        fields = {}
        if said.retry_after and status in (429, 502, 503, 504):
            fields["Retry_After"] = str(-(-said.retry_after // SECOND))
        return plain(status, f"{text}{f' ({path})' if path else ''}", **fields)

    async def _ask(
        self,
        who: Who,
        wanted: simple.Wanted,
        cls: str,
        name: str,
        began: int,
        held: str = "",
        size_kb: float = 0.0,
        digest: str = "",
        tier: Tier | None = None,
    ) -> Response:
        """One request of the core. The deadline is that of the client's request, however many it takes.

        ``tier``: the upstreams that may answer it. Each tier's index is a part of its own, so that one tier's
        copy or "not there" never stands for another's; a file is one part by its bytes, wherever it is from.
        """
        place = self._classes[cls]
        deadline = self.loop.state.settings.classes[place].deadline
        obj = simple.object_id(wanted.project)
        # A part is one file by its bytes: another digest under the same name is another part.
        part = int(hashlib.sha256(f"{wanted.file}={digest}".encode()).hexdigest()[:12], 16) if digest else 0
        among: frozenset[bytes] = frozenset()
        if tier is not None and tier.part:
            among = frozenset(u.encode() for u in tier.upstreams)
            part = part or tier.part
        asked = ClientRequest(
            request_id="",
            class_index=place,
            time_left=max(0, began + deadline - SLACK - self.loop.now()),
            object=obj,
            name=name,
            part=part,
            group=obj & 0xFF,
            size_kb=size_kb,
            client_etag=held,
            team=who.team,
            client_address=who.seat.address,
            is_retry=who.repeat,
            service=self.applied.service_of(wanted.project),
            digest=digest,
            allowed_endpoints=among,
        )
        if who.seat.gone:
            raise StreamClosedError()
        future: asyncio.Future[Response] = asyncio.get_running_loop().create_future()
        who.seat.waits = future
        caller = self.loop.register_downstream(
            lambda answer: None if future.done() else future.set_result(answer)
        )
        self.loop.dispatch(RequestReceived(self.loop.now(), caller, asked))
        try:
            if not future.done():
                who.seat.watch()
            return await future
        finally:
            who.seat.waits = None
            if self.loop.response_callbacks.pop(caller, None) is not None:  # nobody waits any more
                self.loop.dispatch(DownstreamClosed(self.loop.now(), caller))

    def _team(self, head: Head) -> str | None:
        """The team whose token the request carries; empty where no contracts are kept, None: no such."""
        if self.loop.state.broker is None:
            return ""
        scheme, _, word = head.fields.get("authorization", "").partition(" ")
        try:
            team, _, token = base64.b64decode(word, validate=True).decode().partition(":")
        except (binascii.Error, ValueError):
            return None
        said = hashlib.sha256(token.encode()).hexdigest()
        known = self.applied.tokens.get(team, "")
        return team if scheme.lower() == "basic" and known and hmac.compare_digest(said, known) else None

    def _use(self, head: Head) -> HttpResponse:
        """A team's own use of its contracts; all teams', and the room there is, for operators."""
        broker = self.loop.state.broker
        if broker is None:
            return plain(404, "no contracts are kept here")
        team = self._team(head)
        if team is None:
            return plain(401, "a team and its token are needed", WWW_Authenticate='Basic realm="hallproxy"')
        whole = broker.contracts.team(team).operator
        shown = broker.report(self.loop.now(), "" if whole else team)
        if whole:
            shown["places"] = self.places.report() | {"turned_away": self.connection_rejecter.count}
        fields = {"Content-Type": "application/json", "Cache-Control": "no-store"}
        return HttpResponse(200, json.dumps(shown).encode(), fields)

    async def _write(self, seat: Seat, response: HttpResponse, head_only: bool, keeps: bool) -> None:
        lines = [f"HTTP/1.1 {response.status} {PHRASES[response.status]}"]
        lines += [f"{name}: {value}" for name, value in response.fields.items()]
        lines.append(f"Date: {_date(int(time.time()))}")
        if response.status != 304:
            lines.append(f"Content-Length: {response.size}")
        if not keeps:
            lines.append("Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode()
        made = seat.made
        if response.file is not None:
            with response.file:
                made.write_pieces([head])
                await self._taken(seat)
                left = 0 if head_only else response.size
                while left:
                    # A block at a time, as the client takes them: a slow one holds a block and a file open.
                    block = await asyncio.to_thread(response.file.read, min(left, BLOCK))
                    if not block:
                        raise StreamClosedError()  # cut short on disk: the client sees it break off
                    left -= len(block)
                    made.write_pieces([block])
                    await self._taken(seat)
            return
        made.write_pieces([head] if head_only or not response.body else [head, response.body])
        await self._taken(seat)

    async def _taken(self, seat: Seat) -> None:
        """Until the client has taken all of it."""
        made = seat.made
        if not made.writing():
            return
        # Backpressure: the next request is not read before this answer has left.
        seat.unsent = made.unsent_bytes
        self._unsent += seat.unsent
        self._slow.add(seat)
        try:
            self._shed()
            await asyncio.wait_for(made.write(b""), WRITE)
        except TimeoutError:
            log_line("a repository client does not read its answer: closed")
            raise
        finally:
            self._slow.discard(seat)
            self._unsent -= seat.unsent

    def _shed(self) -> None:
        """Over the bound, the team that leaves most unread loses its largest answer: never another's."""
        while self._unsent > UNSENT_MOST and self._slow:
            by_team: Counter[str] = Counter()
            for seat in self._slow:
                by_team[seat.team] += seat.unsent
            most = by_team.most_common(1)[0][0]
            slow = max((s for s in self._slow if s.team == most), key=lambda s: s.unsent)
            log_line("repository clients read too slowly: one is closed")
            self._slow.discard(slow)
            self._unsent -= slow.unsent
            slow.unsent = 0
            slow.made.close()


@lru_cache(maxsize=2)
def _date(second: int) -> str:
    """The Date field: written once for each second."""
    return formatdate(second, usegmt=True)


def _form(index: simple.Index, media: str, coding: str) -> tuple[bytes, str]:
    body = codings.encode(simple.render(index, media), coding)
    return body, hashlib.sha256(body).hexdigest()


class _Reader:
    """Requests off one connection. At most one read runs; it outlives the request it was begun in."""

    def __init__(self, made: Stream) -> None:
        self._made = made
        self._buffer = Buffer(4096)
        self._reading: asyncio.Future[None] | None = None

    def ahead(self) -> asyncio.Future[None]:
        """The read that runs, else a new one. It shows the client's leaving while an answer is made."""
        if self._reading is None or self._reading.done():
            self._reading = asyncio.ensure_future(self._buffer.fill(self._made, 2048))
            self._reading.add_done_callback(lambda done: done.cancelled() or done.exception())
        return self._reading

    async def head(self, within: float) -> Head:
        """The next request's head; TimeoutError if it is not whole in so many seconds."""
        clock = asyncio.get_running_loop().time
        until = clock() + within
        while True:
            # Nothing is taken out of the buffer while a read writes into it.
            if self._reading is None or self._reading.done():
                head = decode_request_head(self._buffer.data, self._buffer.filled)
                if head is not None:
                    self._buffer.discard(head.size)
                    return head
                if self._reading is not None and self._reading.exception() is not None:
                    self._reading.result()
                self._reading = None
                # Not a task of its own: most heads are there at once.
                await self._buffer.fill(self._made, 2048, until - clock())
            else:
                await asyncio.wait((self._reading,), timeout=max(0.0, until - clock()))
                if not self._reading.done():
                    raise TimeoutError
