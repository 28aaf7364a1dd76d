"""What the rows of the page take from the program: its limits, and its mechanisms with their files."""

from hallproxy.interface import RequestClass, Settings
from hallproxy.lab.capacity.rows import Mechanism
from hallproxy.lab.capacity.size import SIZE
from hallproxy.run import change_log_poller, limits
from hallproxy.run.config import Config
from hallproxy.state import change_log_watch
from hallproxy.wire.changelog import encode_poll

SECOND = 1_000_000_000  # ns
PART_KB = 240.0
"""KB (1,000 bytes) of an object's largest part (docs/architecture.md, whole answers)."""
MEMORY_MB, SOCKETS = 192, 1_024
"""A gateway's limits if its configuration sets none (`run/config.py`)."""
_SETTINGS = Settings(
    (RequestClass(SECOND, SECOND),), 0, (0,), 1, 2, 1.0, 0, 1.0, SECOND, 0, 0
)  # only the idle timeout of stores is read from them, and it is unset
BOUNDS = limits.derive_limits(Config("", ("", 0), 0, MEMORY_MB, SOCKETS, None, 0, 0, {}, _SETTINGS))
"""The limits derived from them, on a machine that allows a process as many descriptors."""
PARTS = SIZE.gateway_rate * SIZE.body_kb / PART_KB
"""Parts a second at one gateway if all bodies are sent in parts of the largest size."""
GATHER = 0.25
"""s that a relay waits for more events before it publishes a page (the default of its `gather_ms`)."""
OPEN_TIME = 0.1
"""s that a request is assumed to be open, as the operators gave no figure; results are stated per 0.1 s."""
STALE_WATCH_TIME = change_log_watch.MAX_SILENCE / SECOND
"""s without an update from the change log after which a gateway stops using its own copies."""
POLL_BYTES = len(encode_poll(10**9, change_log_poller.POLL_WAIT, "10.100.100.100:4222"))
"""Bytes of a poll request from sequence number one billion."""

FRAMES = Mechanism("answers in frames, a part at a time", "hallproxy/wire/frames.py")
ONE_LOOP = Mechanism("one process on one event loop", "hallproxy/run/effect_runner.py")
PROCESSES = Mechanism("several gateway processes on a machine that share its port, list and news")
MODULE = Mechanism("the decision module", "hallproxy/decisions/router.py")
LIMITS = Mechanism("parts of the configuration's limits", "hallproxy/run/limits.py")
COPIES = Mechanism("own copies", "hallproxy/state/local_cache.py")
POLLER = Mechanism("one long poll after another", "hallproxy/run/change_log_poller.py")
RELAY = Mechanism("relays that gather, code once and pass on", "hallproxy/relay/__init__.py")
PURGES = Mechanism("the table of purges", "hallproxy/state/purges.py")
MEMBERS = Mechanism("the list, changed in place", "hallproxy/state/endpoints.py")
STALE_COPIES = Mechanism("own copies rest without news", "hallproxy/state/caching.py")
CONNECTION_POOL = Mechanism(
    "connections kept and closed by the reducer", "hallproxy/state/connection_pool.py"
)
CONFIGURATION = Mechanism("a file and SIGHUP on each machine; nothing carries a change to all of them")
REPORTS = Mechanism("nothing sends use, health or versions in force; `hallproxy usage` asks one gateway")
FRONT = Mechanism("the package repositories' front", "hallproxy/repository/front.py")
DRAIN = Mechanism("answers what is open, then ends", "hallproxy/run/shutdown.py")
START = Mechanism("listens behind the change log's first answer", "hallproxy/run/serve.py")
