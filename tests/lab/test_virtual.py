"""The reference allocation that the virtual-time experiments compare with."""

from __future__ import annotations

import pytest

from hallproxy.lab.virtual import max_min


def test_max_min_gives_the_unused_share_of_a_team_to_the_others() -> None:
    assert max_min([("a", 1, 10), ("b", 1, 100), ("c", 2, 100)], 100) == pytest.approx(
        {"a": 10, "b": 30, "c": 60}
    )
