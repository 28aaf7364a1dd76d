"""Start and stop: configuration, sockets, the effects that the reducer asks for, signals."""
