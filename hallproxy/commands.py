"""The command line: parses it, runs the command or the role that it names, and maps errors to exit codes.

A role's modules are imported when it is chosen: a gateway does not pay for those of a relay or a repository.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
from collections.abc import Callable, Sequence
from functools import partial
from pathlib import Path

from hallproxy.interface import SettingsError
from hallproxy.run import contracts
from hallproxy.run.config import ConfigError, load
from hallproxy.run.contracts import ContractError
from hallproxy.run.gateway import GatewayFiles
from hallproxy.run.serve import serve
from hallproxy.run.signals import run_until_stopped
from hallproxy.wire.changelog import ChangeLogError


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(prog="hallproxy", description="With no command: one gateway.")
    parser.add_argument("--teams", type=Path, help="tell teams apart, as this file says (off without it)")
    parser.add_argument(
        "--change-logs", type=Path, help="follow the change log through the relays that this file names"
    )
    commands = parser.add_subparsers(dest="command")
    serving = commands.add_parser("repository", help="serve package repositories, as a deploy file says")
    serving.add_argument("file", type=Path, nargs="?", default=Path("deploy/repository.toml"))
    relaying = commands.add_parser("relay", help="pass the change log on to many, as a file says")
    relaying.add_argument("file", type=Path)
    looking = commands.add_parser("relay-status", help="how far relays and their followers are, as a tree")
    looking.add_argument("addresses", metavar="ADDRESS", nargs="+", help="where a relay listens")
    looking.add_argument("--json", action="store_true")
    using = commands.add_parser("usage", help="what teams use of a running front")
    using.add_argument("--at", default="127.0.0.1:8081", help="where the front listens")
    using.add_argument("--team", required=True)
    using.add_argument("--token-file", type=Path, required=True, help="a file that holds the team's token")
    using.add_argument("--json", action="store_true")
    planning = commands.add_parser("plan", help="print and save what a contracts file would change")
    planning.add_argument("file", type=Path)
    planning.add_argument("--out", type=Path, help="where the plan is saved (FILE.plan)")
    applying = commands.add_parser("apply", help="carry out a saved plan")
    applying.add_argument("plan", type=Path)
    for command in (planning, applying):
        command.add_argument("--state", type=Path, default=Path("contracts.json"), help="what is applied")
    return parser


def _gateway(args: argparse.Namespace) -> int:
    files = GatewayFiles(teams=args.teams, change_logs=args.change_logs)
    asyncio.run(run_until_stopped(partial(serve, load(os.environ), files)))
    return 0


def _repository(args: argparse.Namespace) -> int:
    from hallproxy.repository import config as repository_config
    from hallproxy.repository import serve as repository

    settings = repository_config.load(args.file)
    asyncio.run(run_until_stopped(partial(repository.serve, args.file, settings)))
    return 0


def _relay(args: argparse.Namespace) -> int:
    from hallproxy.relay import config as relay_config
    from hallproxy.relay import serve as relay

    settings = relay_config.load(args.file)
    asyncio.run(run_until_stopped(partial(relay.serve, args.file, settings)))
    return 0


def _relay_status(args: argparse.Namespace) -> int:
    """1 where one of the relays can't be reached."""
    from hallproxy.relay import status

    statuses = status.fetch_all(args.addresses)
    print(json.dumps(statuses, indent=1) if args.json else "\n".join(status.format_tree(statuses)))
    return int(any("error" in one for one in statuses.values()))


def _usage(args: argparse.Namespace) -> int:
    from hallproxy.run import usage  # an HTTP client that no gateway needs

    report = usage.fetch(args.at, args.team, args.token_file.read_text("utf-8").strip())
    print(json.dumps(report, indent=1) if args.json else "\n".join(usage.format_report(report)))
    return 0


def _plan(args: argparse.Namespace) -> int:
    out = args.out or args.file.with_name(args.file.name + ".plan")
    changes = contracts.plan(args.file, args.state, out)
    print("\n".join(changes) or "nothing to change")
    print(f"saved as {out}")
    return 0


def _apply(args: argparse.Namespace) -> int:
    changes = contracts.apply(args.plan, args.state)
    print("\n".join(changes) or "nothing to change")
    return 0


COMMANDS: dict[str | None, Callable[[argparse.Namespace], int]] = {
    None: _gateway,
    "repository": _repository,
    "relay": _relay,
    "relay-status": _relay_status,
    "usage": _usage,
    "plan": _plan,
    "apply": _apply,
}


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command; returns the exit code. An error of configuration is one plain line and a 1."""
    args = _parser().parse_args(argv)
    try:
        return COMMANDS[args.command](args)
    except (ConfigError, ContractError, SettingsError, ChangeLogError) as error:
        print(f"hallproxy: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"hallproxy: {error.strerror or error}", file=sys.stderr)
        return 1
