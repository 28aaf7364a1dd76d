"""The second front's deploy file. The adapter's decoder decodes its settings, like the platform's."""

from __future__ import annotations

import base64
import json
import os
import re
import ssl
from dataclasses import dataclass
from pathlib import Path

from hallproxy import interface as i
from hallproxy.repository import simple
from hallproxy.routes import RouteError, Routes, Rule
from hallproxy.run.config import Address, ConfigError, address, read_toml
from hallproxy.wire.simulator_settings import settings_from_json

MB = 1024 * 1024  # bytes
INDEX, PACKAGE = "index", "package"  # request classes that the settings must define
KEYS = ("listen", "changelog", "contracts", "file_most_mb", "copies_mb", "absent_ms", "upstream", "route",
        "files", "tls_certificate", "tls_key", "settings")  # fmt: skip


@dataclass(slots=True, frozen=True)
class RepositoryConfig:
    listen: Address
    changelog: Address | None
    contracts: Path | None  # the applied contracts; None: no contracts
    max_file_bytes: int
    memory_cache_bytes: int
    negative_ttl: int  # ns for which "not found" is cached
    disk_cache: Path | None  # the directory; None: no files are cached on disk
    disk_cache_bytes: int
    large_file_bytes: int  # from which a file is never held in memory
    upstreams: tuple[tuple[str, str], ...]  # id, address
    settings: i.Settings
    routes: Routes
    upstream_options: dict[str, simple.UpstreamOptions]  # by address
    tls: ssl.SSLContext | None  # towards clients; None: plain HTTP


def load(path: Path) -> RepositoryConfig:
    top = read_toml(path)
    try:
        for key in top:
            if key not in KEYS:
                raise ConfigError(f"unknown key {key!r}")
        settings = settings_from_json(json.dumps(top["settings"]).encode())
        for name in (INDEX, PACKAGE):
            if name not in {c.name for c in settings.classes}:
                raise ConfigError(f"settings define no class {name}")
        upstreams = tuple((str(u["id"]), str(u["address"])) for u in top["upstream"])
        upstream_options = {str(u["address"]): _upstream_options(u, path.parent) for u in top["upstream"]}
        for _, upstream_address in upstreams:
            address(upstream_address)
        if not upstreams or len({ident for ident, _ in upstreams}) < len(upstreams):
            raise ConfigError("upstream: at least one is needed, each with a unique id")
        contracts = top.get("contracts", "")
        max_file_bytes = _megabytes(top, "file_most_mb", 16)
        files = _disk_cache(top.get("files"), max_file_bytes)
        return RepositoryConfig(
            listen=address(top["listen"]),
            changelog=address(top["changelog"]) if top.get("changelog") else None,
            contracts=path.parent / str(contracts) if contracts else None,
            max_file_bytes=max_file_bytes,
            memory_cache_bytes=_megabytes(top, "copies_mb", 64),
            negative_ttl=_milliseconds(top, "absent_ms", 1000, 60_000),
            disk_cache=path.parent / files[0] if files is not None else None,
            disk_cache_bytes=files[1] if files is not None else 0,
            large_file_bytes=files[2] if files is not None else 0,
            upstreams=upstreams,
            settings=settings,
            routes=Routes(tuple(_rule(r) for r in top.get("route", [])), tuple(u for u, _ in upstreams)),
            upstream_options=upstream_options,
            tls=_client_tls(top, path.parent),
        )
    except KeyError as error:
        raise ConfigError(f"{path}: {error} is missing") from None
    except (ConfigError, i.SettingsError, RouteError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


UPSTREAM_KEYS = {"id", "address", "prefix", "credentials", "tls", "ca", "server_name"}
PREFIX = re.compile(r"(/[A-Za-z0-9._~!$&'()*+,;=:@%-]+)*")


def _upstream_options(table: dict[str, object], directory: Path) -> simple.UpstreamOptions:
    """``prefix``: of the upstream's paths; ``credentials``: the name of an environment variable.

    A value ``user:password`` is sent as Basic, any other as a Bearer token. The file names only the variable,
    so that no secret is stored with the settings; an unset variable is an error at start.
    """
    if unknown := set(table) - UPSTREAM_KEYS:
        raise ConfigError(f"upstream: unknown key {sorted(unknown)[0]!r}")
    prefix = str(table.get("prefix", "")).rstrip("/")
    if not PREFIX.fullmatch(prefix):
        raise ConfigError(f"upstream {table.get('id')!r}: prefix {prefix!r} is not a path such as /pypi")
    authorization = ""
    if name := str(table.get("credentials", "")):
        secret = os.environ.get(name, "")
        if not secret or any(c in secret for c in "\r\n"):
            raise ConfigError(f"upstream {table.get('id')!r}: credentials: {name} is unset or not one line")
        if ":" in secret:
            authorization = "Basic " + base64.b64encode(secret.encode()).decode()
        else:
            authorization = f"Bearer {secret}"
    return simple.UpstreamOptions(
        prefix, authorization, _upstream_tls(table, directory), str(table.get("server_name", ""))
    )


def _client_tls(top: dict[str, object], directory: Path) -> ssl.SSLContext | None:
    """TLS towards clients: ``tls_certificate`` (PEM, the chain), ``tls_key`` (PEM), relative to the file."""
    certificate, key = top.get("tls_certificate"), top.get("tls_key")
    if certificate is None and key is None:
        return None
    if not isinstance(certificate, str) or not isinstance(key, str):
        raise ConfigError("tls_certificate and tls_key are needed together, each the name of a PEM file")
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    try:
        context.load_cert_chain(directory / certificate, directory / key)
    except (OSError, ssl.SSLError) as error:
        raise ConfigError(f"tls_certificate {certificate!r} or tls_key {key!r}: {error}") from None
    return context


def _upstream_tls(table: dict[str, object], directory: Path) -> ssl.SSLContext | None:
    """``tls = true``: certificates are checked against the system's roots or ``ca`` (PEM, relative path)."""
    tls, ca = table.get("tls", False), table.get("ca")
    if type(tls) is not bool:
        raise ConfigError(f"upstream {table.get('id')!r}: tls is {tls!r}; true or false is accepted")
    if not tls:
        if ca is not None or "server_name" in table:
            raise ConfigError(f"upstream {table.get('id')!r}: ca and server_name need tls = true")
        return None
    try:
        context = ssl.create_default_context(cafile=directory / str(ca) if ca is not None else None)
    except (OSError, ssl.SSLError) as error:
        raise ConfigError(f"upstream {table.get('id')!r}: ca {ca!r} can't be used: {error}") from None
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context


def _rule(table: dict[str, object]) -> Rule:
    """``projects``: patterns of names, normalized; ``upstreams``: tiers in order, an id or mirrors each."""
    if set(table) - {"projects", "upstreams"}:
        raise ConfigError(
            f"route: only projects and upstreams are accepted as keys, not {sorted(set(table))}"
        )
    projects, tiers = table["projects"], table["upstreams"]
    if not isinstance(projects, list) or not isinstance(tiers, list):
        raise ConfigError("route: projects and upstreams must be lists")
    tier_ids = tuple((t,) if isinstance(t, str) else tuple(str(u) for u in t) for t in tiers)
    return Rule(tuple(simple.normalize_name(str(p)) if p else "" for p in projects), tier_ids)


def _disk_cache(table: object, max_file_bytes: int) -> tuple[str, int, int] | None:
    """``directory``, relative to the file; ``most_mb``, to 1,048,576; ``large_mb``, to file_most_mb."""
    if table is None:
        return None
    if not isinstance(table, dict) or not {"directory", "most_mb"} <= set(table):
        raise ConfigError("files: directory and most_mb are needed")
    if unknown := set(table) - {"directory", "most_mb", "large_mb"}:
        raise ConfigError(f"files: unknown key {sorted(unknown)[0]!r}")
    directory, max_mb = table["directory"], table["most_mb"]
    large_mb = table.get("large_mb", min(4, max_file_bytes // MB))
    if type(large_mb) is not int or not 0 <= large_mb * MB <= max_file_bytes:
        raise ConfigError(f"files: large_mb is {large_mb!r}; an integer from 0 to file_most_mb is accepted")
    if not isinstance(directory, str) or not directory:
        raise ConfigError(f"files: the name of a directory is accepted, but directory is {directory!r}")
    if type(max_mb) is not int or not 1 <= max_mb <= 1024 * 1024:
        raise ConfigError(f"files: most_mb is {max_mb!r}; an integer from 1 to 1048576 is accepted")
    return directory, max_mb * MB, large_mb * MB


def _milliseconds(top: dict[str, object], key: str, default: int, maximum: int) -> int:
    value = top.get(key, default)
    if type(value) is not int or not 0 <= value <= maximum:
        raise ConfigError(f"{key} is {value!r}; accepted are integers from 0 to {maximum}")
    return value * 1_000_000


def _megabytes(top: dict[str, object], key: str, default: int) -> int:
    value = top.get(key, default)
    if type(value) is not int or not 0 <= value <= 1024:
        raise ConfigError(f"{key} must be an integer from 0 to 1024, not {value!r}")
    return value * 1024 * 1024
