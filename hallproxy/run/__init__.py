"""The platform's gateway as a process: configuration, sockets, effects, signals, start and shutdown."""
