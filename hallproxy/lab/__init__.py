"""Experiments: load on loopback, and the broker's decisions at scales that sockets can't reach."""
