"""Admission between teams: contracts, budgets, concurrency limits, and fair sharing of slots.

The package does no I/O, reads no clock and knows no protocol: each call passes the time in ns. ``broker``
combines the parts; each other module is one of them. ``connection_slots`` stands apart: it protects the
process itself, before a client is authenticated.
"""
