"""Which upstreams may answer for a project, and in what order: decisions without I/O, clock or wire."""

from hallproxy.routes.rules import Route, RouteError, Routes, Rule, Tier

__all__ = ["Route", "RouteError", "Routes", "Rule", "Tier"]
