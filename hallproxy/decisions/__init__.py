"""The decisions of one gateway: events in, actions out, without I/O and without a clock.

The package owns what a gateway knows about its caches, parents and origin, and the rules that choose the
cache, the fill source and the cache rank, and decide on retries, hedges and rejections. ``router.Router``
owns the order of the rules; each other module holds one rule with its constants. The types are in
``hallproxy.interface``.

The design is the operators' record "revenue per byte". It follows the paper "Cost-Based Cache Replacement
and Server Selection for Multimedia Proxy across Wireless Internet"; equations are cited by its numbers. A
comment that begins with "Departure" says where a rule differs from the design, what that guards against and
what it costs.
"""

from hallproxy.decisions.router import Router

__all__ = ["Router"]
