"""Replication of the change log to many followers: decisions without I/O and without a clock.

``source_selection`` selects the address that a follower polls. ``event_ring`` stores the events and the
endpoint list that results from them, ``pages`` builds the responses. ``change_log`` applies upstream pages
and selects each follower's page, ``freshness`` decides when a relay is stale, ``confirmation`` tracks which
events all followers have. Times are ns of one monotonic clock, and passed in.
"""

GROUP_COUNT = 256  # groups of objects that are purged together
MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns


class FeedError(ValueError):
    """A page that can't be used; the text says why. Nothing of it has been applied."""


class GapError(FeedError):
    """Events are missing between those applied and those of the page, or within the page."""
