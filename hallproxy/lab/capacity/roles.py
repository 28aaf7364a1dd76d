"""The page's first table: each role's state, messages, processor time and memory at the size.

Each row carries its own arithmetic as text; constants of the program are imported, so that they stay current.
"""

from hallproxy.lab.capacity.control_rows import CONTROL, MACHINE
from hallproxy.lab.capacity.gateway_rows import DECISIONS, SECOND_FRONT, SERVING, STARTS
from hallproxy.lab.capacity.rows import Row
from hallproxy.lab.capacity.store_rows import STORE

ROLES = {
    "serving": "The gateway's serving",
    "control": "The gateway's control",
    "machine": "Each control machine",
    "store": "A store and its connections",
    "decision": "The decision module",
    "start": "Start and restart",
    "second": "The second front",
}

ROWS: tuple[Row, ...] = (*SERVING, *CONTROL, *MACHINE, *STORE, *DECISIONS, *STARTS, *SECOND_FRONT)
