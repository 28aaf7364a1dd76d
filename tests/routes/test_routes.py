"""The routing table: precedence of rules, tiers in order, unusable rules."""

from __future__ import annotations

from fnmatch import fnmatchcase
from pathlib import Path

import pytest

from hallproxy.repository.config import load
from hallproxy.routes import RouteError, Routes, Rule
from hallproxy.routes.table import MAX_CACHED_ROUTES
from hallproxy.run.config import ConfigError
from tests.support.repository_front import DEPLOY

UPSTREAMS = ("private", "mirror", "public")


def test_a_pin_precedes_patterns_and_more_literal_characters_precede_fewer() -> None:
    routes = Routes(
        (
            Rule(("charger-*",), (("private", "mirror"), ("public",))),
            Rule(("charger-fw-*", "x?"), (("mirror",),)),
            Rule(("charger-fw-tools",), (("public",),)),
        ),
        UPSTREAMS,
    )
    assert routes.find("charger-fw-tools").tiers[0].upstreams == ("public",)
    assert routes.find("charger-fw-boot").rule_index == 1
    assert routes.find("charger-x").rule_index == 0
    assert [t.upstreams for t in routes.find("charger-x").tiers] == [("private", "mirror"), ("public",)]
    assert routes.find("numpy") is routes.default and routes.default.tiers[0].part == 0
    assert routes.find("").rule_index == -1


def test_only_not_found_leads_to_the_next_tier() -> None:
    route = Routes((Rule(("a",), (("private",), ("mirror",), ("public",))),), UPSTREAMS).find("a")
    assert route.next_tier(0, not_found=True) == 1 and route.next_tier(1, not_found=True) == 2
    assert route.next_tier(2, not_found=True) is None
    assert route.next_tier(0, not_found=False) is None  # failed, timed out or rejected: the search ends


def test_each_tier_has_its_own_part_and_all_upstreams_have_the_default_one() -> None:
    routes = Routes((Rule(("a",), (("private",), ("public",))), Rule(("b",), (UPSTREAMS,))), UPSTREAMS)
    first, second = routes.find("a").tiers
    assert first.part != second.part and first.part and second.part
    assert routes.find("b").tiers[0].part == 0


@pytest.mark.parametrize(
    ("rules", "words"),
    [
        ((Rule((), (("public",),)),), "names no project"),
        ((Rule(("a",), ()),), "names no project"),
        ((Rule(("a",), ((),)),), "no upstream"),
        ((Rule(("a",), (("elsewhere",),)),), "'elsewhere'"),
        ((Rule(("a",), (("public",), ("public", "mirror"))),), "twice"),
        ((Rule(("a",), (("public",),)), Rule(("a",), (("mirror",),))), "another rule pins"),
    ],
)
def test_unusable_rules_are_rejected(rules: tuple[Rule, ...], words: str) -> None:
    with pytest.raises(RouteError, match=words):
        Routes(rules, UPSTREAMS)


def test_the_deploy_files_patterns_are_normalized(tmp_path: Path) -> None:
    file = tmp_path / "repository.toml"
    route = '\n[[route]]\nprojects = ["Charger_FW.*"]\nupstreams = [["repository-1"]]\n'
    file.write_text(DEPLOY + route)
    assert load(file).routes.find("charger-fw-x").rule_index == 0
    file.write_text(DEPLOY + route.replace("repository-1", "repository-9"))
    with pytest.raises(ConfigError, match="repository-9"):
        load(file)
    file.write_text(DEPLOY + route + "weight = 2\n")
    with pytest.raises(ConfigError, match="only projects and upstreams"):
        load(file)


def test_the_table_finds_what_a_linear_search_finds_and_its_cache_is_bounded() -> None:
    patterns = [f"team-{n % 50}-{'*' if n % 3 else '?x*'}" for n in range(300)] + ["*-tools", "team-*"]
    rules = tuple(Rule((p,), (("public",),)) for p in dict.fromkeys(patterns))
    routes = Routes(rules, UPSTREAMS)
    ordered = sorted(
        enumerate(rules), key=lambda r: (-len(r[1].projects[0].replace("*", "").replace("?", "")), r[0])
    )
    for n in range(MAX_CACHED_ROUTES * 2):
        name = f"team-{n % 60}-{'a' if n % 2 else 'bx'}{n}" if n % 7 else f"other-{n}-tools"
        expected = next((index for index, rule in ordered if fnmatchcase(name, rule.projects[0])), -1)
        assert routes.find(name).rule_index == expected, name
    assert len(routes._cached) <= MAX_CACHED_ROUTES
