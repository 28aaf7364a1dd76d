"""Guards against upstream indexes that keep a thread busy: decoding takes time in proportion to the bytes."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress

import pytest

from hallproxy.repository import simple
from tests.support.proportion import MAX_TIME_GROWTH, time_growth

pytestmark = pytest.mark.timing("compares the processor time of two sizes")


def decode_index(start: str, unit: str, media: str, size: int) -> Callable[[], None]:
    body = (start + unit * (size // len(unit))).encode()

    def operation() -> None:
        with suppress(simple.BadIndex):
            simple.read_index(body, media, "/simple/a/")

    return operation


@pytest.mark.parametrize(
    "unit",
    ["<!--", "<a ", "</a", "<a x='", "<", "&#1", "<![CDATA[", "<?", "<script>", "<!x", "<a x=", "<a x=\"'",
     "<a\t", "&amp", "<a href='b'>b</a>", "<a href='/a/../b'>", "<div>"],
)  # fmt: skip
def test_an_html_index_is_decoded_in_time_proportional_to_its_size(unit: str) -> None:
    assert time_growth(lambda size: decode_index("", unit, simple.HTML, size), 4000) <= MAX_TIME_GROWTH


@pytest.mark.parametrize(
    "unit", ["{},", '"a",', "1", " ", '"\\u0061', '{"filename":"a","url":"b","hashes":{}},']
)
def test_a_json_index_is_decoded_in_time_proportional_to_its_size(unit: str) -> None:
    start = '{"meta":{"api-version":"1.0"},"files":['

    def prepare(size: int) -> Callable[[], None]:
        return decode_index(start, unit, simple.JSON, size)

    assert time_growth(prepare, simple.LARGE_INDEX_BYTES) <= MAX_TIME_GROWTH
