"""Seeded soak test of a gateway process with stand-ins on loopback, checked against the protocol's rules."""
