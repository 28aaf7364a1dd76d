"""The command line: parses it, runs the command or role that it names, and maps errors to exit codes.

A role's modules are imported when it is run: a gateway does not load those of a relay or a repository.
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
    parser = argparse.ArgumentParser(prog="hallproxy", description="Without a command: run a gateway.")
    parser.add_argument("--teams", type=Path, help="file of teams and their contracts (default: no teams)")
    parser.add_argument(
        "--change-logs", type=Path, help="file of the relays through which the change log is followed"
    )
    commands = parser.add_subparsers(dest="command")
    repository = commands.add_parser("repository", help="serve package repositories, configured by a file")
    repository.add_argument("file", type=Path, nargs="?", default=Path("deploy/repository.toml"))
    relay = commands.add_parser("relay", help="relay the change log to many followers, configured by a file")
    relay.add_argument("file", type=Path)
    relay_status = commands.add_parser("relay-status", help="show relays and their followers as a tree")
    relay_status.add_argument("addresses", metavar="ADDRESS", nargs="+", help="HOST:PORT of a relay")
    relay_status.add_argument("--json", action="store_true")
    usage = commands.add_parser("usage", help="show the usage of teams at a running front")
    usage.add_argument("--at", default="127.0.0.1:8081", help="HOST:PORT of the front")
    usage.add_argument("--team", required=True)
    usage.add_argument("--token-file", type=Path, required=True, help="file that contains the team's token")
    usage.add_argument("--json", action="store_true")
    plan = commands.add_parser("plan", help="print and save the changes that a contracts file would make")
    plan.add_argument("file", type=Path)
    plan.add_argument("--out", type=Path, help="file to save the plan to (default: FILE.plan)")
    apply = commands.add_parser("apply", help="apply a saved plan")
    apply.add_argument("plan", type=Path)
    for command in (plan, apply):
        command.add_argument("--state", type=Path, default=Path("contracts.json"), help="the applied state")
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
    """Returns 1 if one of the relays can't be reached."""
    from hallproxy.relay import status

    statuses = status.fetch_all(args.addresses)
    print(json.dumps(statuses, indent=1) if args.json else "\n".join(status.format_tree(statuses)))
    return int(any("error" in relay_status for relay_status in statuses.values()))


def _usage(args: argparse.Namespace) -> int:
    from hallproxy.run import usage  # imports an HTTP client, which a gateway does not need

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
    """Run the command; returns the exit code. For a configuration error it prints one line and returns 1."""
    args = _parser().parse_args(argv)
    try:
        return COMMANDS[args.command](args)
    except (ConfigError, ContractError, SettingsError, ChangeLogError) as error:
        print(f"hallproxy: {error}", file=sys.stderr)
        return 1
    except OSError as error:
        print(f"hallproxy: {error.strerror or error}", file=sys.stderr)
        return 1
