"""Decisions of a request router for caches that fill from parent caches and an origin."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from hallproxy.decisions import Router

__all__ = ["Router"]


def __getattr__(name: str) -> Any:
    """Import ``Router`` at its first use: ``__main__`` blocks a signal before anything else is imported."""
    if name != "Router":
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    from hallproxy.decisions import Router

    return Router
