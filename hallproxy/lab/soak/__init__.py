"""A seeded soak of one gateway process among stand-ins on loopback, checked against the protocol's rules."""
