"""The report of slots and concurrency limits. Its keys are part of the operators' interface."""

from __future__ import annotations

from hallproxy.broker.concurrency_limits import ConcurrencyLimits
from hallproxy.broker.fair_queue import FairQueue


def capacity_report(limits: ConcurrencyLimits, queue: FairQueue) -> dict[str, object]:
    """Slots, queued requests, reductions of limits, and each source's limit and attempts in flight."""
    return {
        "limit": limits.total_limit(),
        "held": queue.in_use,
        "waiting": queue.queued,
        "falls": limits.reductions,
        "sources": {
            endpoint.decode(errors="replace"): {
                "limit": round(source.limit, 1),
                "out": source.in_flight,
            }
            for endpoint, source in limits.sources.items()
        },
    }
