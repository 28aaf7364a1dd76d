"""Idempotency keys: which team owns a key, and until when the origin deduplicates it.

The origin drops requests that repeat a key within the class's deduplication window. After the window a
repeat would run a second time, and a request of another team under the same key would be dropped as a
duplicate. Both are rejected here. Budgets and contracts play no part, so changes to them cannot weaken the
guard.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b

MS = 1_000_000  # ns
SECOND = 1_000_000_000  # ns
EXPIRED_RETENTION = 60 * SECOND  # ns after its window for which a key is remembered as expired
MAX_KEYS = 65_536  # of all teams
MAX_KEYS_PER_TEAM = 16_384  # a flood of keys evicts the team's own
TRANSIT_MARGIN = 20 * MS  # ns subtracted from the window for the transit to the origin
DIGEST_BYTES = 16


class KeyStatus(Enum):
    """What a request under a key is."""

    NEW = "new"
    REPEAT = "repeat"  # same team, within the window
    FOREIGN = "foreign"  # another team's key
    EXPIRED = "expired"  # the window has ended: the request might run twice


@dataclass(slots=True)
class _KeyEntry:
    team: str
    first_sent_at: int  # ns
    expires_at: int  # ns; the window runs from the first attempt that may have run
    possibly_run: int = 0  # attempts, in flight or finished, not proved never to have run


class IdempotencyKeys:
    """A bounded table of the keys in use, by digest, oldest first."""

    def __init__(self, max_keys: int = MAX_KEYS, max_keys_per_team: int = MAX_KEYS_PER_TEAM) -> None:
        self._max_keys = max_keys
        self._max_keys_per_team = max_keys_per_team
        self._entries: OrderedDict[bytes, _KeyEntry] = OrderedDict()
        self._digests_by_team: dict[str, OrderedDict[bytes, None]] = {}

    def __len__(self) -> int:
        """Keys in the table."""
        return len(self._entries)

    def check(self, team: str, key: str, now: int) -> KeyStatus:
        """The status of a request under this key."""
        self._drop_expired(now)
        entry = self._entries.get(_digest(key))
        if entry is None:
            return KeyStatus.NEW
        if entry.team != team:
            return KeyStatus.FOREIGN
        return KeyStatus.REPEAT if now < entry.expires_at else KeyStatus.EXPIRED

    def attempt_sent(self, team: str, key: str, window: int, now: int) -> bool:
        """Record that an attempt is sent; False: it must not be.

        The window (ns) starts with the first attempt that may have run; later ones do not extend it.
        """
        status = self.check(team, key, now)
        if status in (KeyStatus.FOREIGN, KeyStatus.EXPIRED):
            return False
        digest = _digest(key)
        entry = self._entries.get(digest)
        if entry is None:
            entry = _KeyEntry(team, now, now + max(0, window - TRANSIT_MARGIN))
            self._add(digest, entry)
        entry.possibly_run += 1
        return True

    def attempt_never_ran(self, team: str, key: str, sent_at: int) -> None:
        """An attempt is proved not to have run; without any other attempt the key counts as new again.

        ``sent_at`` (ns) is when it was recorded: it may belong to an entry that was evicted since.
        """
        digest = _digest(key)
        entry = self._entries.get(digest)
        if entry is None or entry.team != team or sent_at < entry.first_sent_at:
            return
        entry.possibly_run -= 1
        if entry.possibly_run <= 0:
            self._drop(digest)

    def _add(self, digest: bytes, entry: _KeyEntry) -> None:
        self._entries[digest] = entry
        team_digests = self._digests_by_team.setdefault(entry.team, OrderedDict())
        team_digests[digest] = None
        if len(team_digests) > self._max_keys_per_team:
            self._drop(next(iter(team_digests)))
        elif len(self._entries) > self._max_keys:
            # Evict from the team with most keys: a team with few loses none to another team's flood.
            largest = max(self._digests_by_team.values(), key=len)
            self._drop(next(iter(largest)))

    def _drop(self, digest: bytes) -> None:
        entry = self._entries.pop(digest)
        team_digests = self._digests_by_team[entry.team]
        del team_digests[digest]
        if not team_digests:
            del self._digests_by_team[entry.team]

    def _drop_expired(self, now: int) -> None:
        while self._entries:
            digest, entry = next(iter(self._entries.items()))
            if now < entry.expires_at + EXPIRED_RETENTION:
                return
            self._drop(digest)


def _digest(key: str) -> bytes:
    return blake2b(key.encode(), digest_size=DIGEST_BYTES).digest()
