"""HTTP/1.1 heads and chunk sizes against tables of cases."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from hallproxy.wire import http1


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Le", None),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-A: b\r\n\r\n", (200, 12, True)),
        (b"HTTP/1.1 304\r\nContent-Length: 12\r\n\r\n", (304, 0, True)),
        (b"HTTP/1.0 404 No\r\nContent-Length: 0\r\n\r\n", (404, 0, False)),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", (200, None, False)),
        (b"HTTP/2 200 OK\r\n\r\n", http1.HttpError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n", http1.HttpError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", http1.HttpError),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", http1.HttpError),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n", http1.HttpError),
        (b"HTTP/1.1 200 OK\r\nbad line\r\n\r\n", http1.HttpError),
        (b"x" * http1.MAX_HEAD_BYTES, http1.HttpError),
    ],
)
def test_response_heads(raw: bytes, expected: Any) -> None:
    if expected is http1.HttpError:
        with pytest.raises(http1.HttpError):
            assert (head := http1.decode_response_head(bytearray(raw), len(raw))) and head.body_length
    else:
        head = http1.decode_response_head(bytearray(raw), len(raw))
        assert (head and (head.status, head.body_length, head.keep_alive)) == expected


# Guards against heads of very many short fields, which take 17 times their bytes in memory while in use.
@pytest.mark.parametrize("decode", [http1.decode_response_head, http1.decode_request_head])
@pytest.mark.parametrize("name", [b"x%d", b"x"], ids=["different names", "one name"])
def test_a_head_has_a_limited_number_of_fields(decode: Callable[..., http1.Head | None], name: bytes) -> None:
    start = b"HTTP/1.1 200 OK\r\n" if decode is http1.decode_response_head else b"GET / HTTP/1.1\r\n"

    def head_of(count: int) -> bytearray:
        names = [name % n if b"%" in name else name for n in range(count)]
        return bytearray(start + b"".join(field + b":\r\n" for field in names) + b"\r\n")

    longest, too_long = head_of(http1.MAX_HEAD_FIELDS), head_of(http1.MAX_HEAD_FIELDS + 1)
    head = decode(longest, len(longest))
    assert head is not None and head.size == len(longest)
    with pytest.raises(http1.HttpError):
        decode(too_long, len(too_long))


@pytest.mark.parametrize(
    ("line", "size"), [(b"0", 0), (b"1F;x=y", 31), (b"", None), (b"-1", None), (b"0x1", None)]
)
def test_chunk_sizes(line: bytes, size: int | None) -> None:
    if size is None:
        with pytest.raises(http1.HttpError):
            http1.decode_chunk_size(line)
    else:
        assert http1.decode_chunk_size(line) == size


@pytest.mark.parametrize(
    ("text", "seconds"),
    [("0", 0), ("007", 7), ("2147483648", 1 << 31), ("2147483649", 1 << 31), ("9" * 5_000, 1 << 31)]
    + [(text, None) for text in ("", "-1", "+1", "1.5", "1 2", "\u00b2", "\u0661")],
)
def test_delta_seconds(text: str, seconds: int | None) -> None:
    assert http1.decode_delta_seconds(text) == seconds
