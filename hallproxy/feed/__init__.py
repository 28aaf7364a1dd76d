"""The change log as it is passed on to many: decisions without I/O and without a clock.

``choice`` says whom a follower asks. ``told`` holds the events and the folded list, ``pages`` what is sent of
them, ``log`` decides which page an asker gets and what becomes of a page from above, ``current`` how old the
news is, ``confirmed`` how far all have come. Times are ns of one clock that never goes back, and passed in.
"""

GROUPS = 256  # groups of objects that a purge may name
MS = 1_000_000
SECOND = 1_000_000_000


class FeedError(ValueError):
    """A page that can't be used; the text says why. Nothing of it has been applied."""


class GapError(FeedError):
    """Events are missing ahead of those that came."""
