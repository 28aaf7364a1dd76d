"""Routing of projects to ordered tiers of upstreams: decisions without I/O, clock or protocol."""

from hallproxy.routes.rules import Route, RouteError, Rule, Tier
from hallproxy.routes.table import Routes

__all__ = ["Route", "RouteError", "Routes", "Rule", "Tier"]
