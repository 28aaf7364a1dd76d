"""The README's example runs unchanged, and each role imports and needs only its own modules and libraries."""

from __future__ import annotations

import json
import os
import re
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.support.gateway import ROOT, platform_settings


def test_the_example_runs(capsys: pytest.CaptureFixture[str]) -> None:
    text = (ROOT / "README.md").read_text()
    code = re.search(r"```python\n(.*?)```", text, re.S)
    assert code is not None
    exec(compile(code.group(1), "README.md", "exec"), {})
    output = capsys.readouterr().out
    assert re.fullmatch(r"b'cache-[ab]' fills from b'parent' and caches at rank [0-3]\n", output)


def test_the_gateway_and_the_adapter_need_only_their_own_libraries() -> None:
    """`build` only installs requirements.txt; the platform must not depend on the other front's libraries."""
    blocked = "pytricia hdrh sortedcontainers cachetools matplotlib orjson click numpy PIL"
    text = (
        f"import sys\nfor name in {blocked!r}.split(): sys.modules[name] = None\n"
        "import hallproxy.commands, hallproxy.adapter\nfrom hallproxy.state.model import GatewayState\n"
    )
    result = subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True)
    assert result.returncode == 0, result.stderr


def imported(path: Path, *arguments: str) -> set[str]:
    """The project's modules that the program with these arguments has imported by its exit."""
    text = (
        "import sys\nfrom hallproxy.__main__ import main\nstatus = main(sys.argv[1:])\n"
        "print('modules', *(m for m in sys.modules if m.startswith('hallproxy')))\nsys.exit(status)\n"
    )
    environ = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")}
    environ |= {"EDGE_CONFIG": str(path / "config.json"), "EDGE_NAME": "n1"}
    process = subprocess.Popen([sys.executable, "-c", text, *arguments], cwd=ROOT, env=environ, text=True,
                               stdout=subprocess.PIPE, stderr=subprocess.PIPE)  # fmt: skip
    assert process.stdout is not None and process.stderr is not None
    listening = next(line for line in process.stderr if " listens on " in line)
    process.terminate()
    output, errors = process.communicate(timeout=20)
    assert process.returncode == 0, listening + errors
    return set(output.split("modules ", 1)[1].split())


def test_a_gateway_and_the_adapter_import_no_relay_feed_lab_files_or_repository(tmp_path: Path) -> None:
    config = {"name": "n1", "listen": "127.0.0.1:0", "settings": platform_settings()}
    (tmp_path / "config.json").write_text(json.dumps(config))
    (tmp_path / "relay.toml").write_text('name = "r"\nlisten = "127.0.0.1:0"\nupstream = ["127.0.0.1:1"]\n')
    excluded = tuple(f"hallproxy.{package}" for package in ("relay", "feed", "lab", "files", "repository"))
    gateway_modules = imported(tmp_path)
    assert "hallproxy.run.change_log_poller" in gateway_modules
    assert not [name for name in gateway_modules if name.startswith(excluded)]
    # The same check finds them in a role that imports them.
    assert {"hallproxy.relay.front", "hallproxy.feed.change_log"} <= imported(
        tmp_path, "relay", str(tmp_path / "relay.toml")
    )
    text = "import sys, hallproxy.adapter\nprint(*(m for m in sys.modules if m.startswith('hallproxy')))"
    result = subprocess.run([sys.executable, "-c", text], cwd=ROOT, capture_output=True, text=True)
    adapter_modules = result.stdout.split()
    assert "hallproxy.adapter" in adapter_modules and not [
        n for n in adapter_modules if n.startswith(excluded)
    ]


def test_an_installed_hallproxy_has_all_its_packages() -> None:
    listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
    present = {".".join(p.parent.relative_to(ROOT).parts) for p in (ROOT / "hallproxy").rglob("__init__.py")}
    assert sorted(listed) == sorted(present)
