"""The process on the simulator's wire, and malformed input to it."""

from __future__ import annotations

import io
import json
import struct
import subprocess
import sys

import pytest

from hallproxy import adapter
from tests.support.simulator_frames import ENDPOINT, INSTANCE_3, batch_frame
from tests.support.simulator_options import OPTIONS


@pytest.mark.parametrize(
    "data",
    [
        b"\1\2\3",
        batch_frame([INSTANCE_3])[:-5],
        struct.pack("<IIQI", 1, 20, 0, 3),
        struct.pack("<IIQI", 1, 4, 0, 0),
        batch_frame([INSTANCE_3, b"\xee"]),
        batch_frame([struct.pack("<BI", 9, 1)]),
        batch_frame([INSTANCE_3, struct.pack("<BI", 9, 1)]),
        batch_frame([INSTANCE_3, struct.pack("<BIBB", 7, 1, 5, 1)]),
        batch_frame([INSTANCE_3, struct.pack("<BQII", 5, 1, 0, 4000)]),
        batch_frame([INSTANCE_3, struct.pack("<BQII", 5, 1, 0, 2)], b"{}"),
    ],
)
def test_malformed_input_ends_the_process_with_one_line_and_writes_nothing(data: bytes) -> None:
    completed = subprocess.run(
        [sys.executable, "-m", "hallproxy.adapter"], input=data, capture_output=True, check=False
    )
    assert completed.returncode != 0 and completed.stdout == b""
    assert len(completed.stderr.decode().strip().splitlines()) == 1 and b"Traceback" not in completed.stderr


def test_the_loop_answers_every_batch_and_starts_instances() -> None:
    options = json.dumps(OPTIONS).encode()
    catalog_entry = struct.pack("<QHBBHf6s", 0, 0, 2, 0, 1, 4.0, ENDPOINT)
    instance_started = struct.pack("<BQII", 5, 99, 0, len(options))
    catalog = struct.pack("<BBII", 12, 0, len(options), 1)
    endpoint_changed = struct.pack("<BIBB", 7, 1, 0, 2)
    request = struct.pack("<BQBIQfBffQ", 3, 5, 0, 0, 8, 0.0, 0, 0.0, 640.0, 10**9)
    data = batch_frame([], number=1) + batch_frame(
        [INSTANCE_3, instance_started, catalog, endpoint_changed, request], options + catalog_entry, number=2
    )
    sink = io.BytesIO()
    adapter.serve(io.BytesIO(data), sink)
    output = sink.getvalue()
    assert output[:12] == struct.pack("<III", 1, 0, 12)
    assert struct.unpack_from("<I", output, 12)[0] == 2
    codes = [output[24 + 40 * n] for n in range(struct.unpack_from("<I", output, 16)[0])]
    assert codes[0] == 78 and 77 in codes
