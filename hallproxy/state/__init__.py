"""The gateway's state and the one reducer that changes it.

``reduce(state, event)`` applies one event and returns the effects that ``hallproxy.run`` carries out. No
module here does I/O or reads a clock. The modules, each importing only those above it:

- ``units``, ``limits``, ``endpoints``, ``purges``, ``local_cache``, ``negative_cache``: tables and limits.
- ``events``, ``effects``: the messages in and out.
- ``in_flight``: requests, attempts and connections, with the tables of their states; ``ports``: protocols of
  optional parts; ``model``: ``GatewayState``.
- ``caching``, ``lifecycle``, ``admission``, ``requests``: the lifecycle of a request.
- ``connection_pool``, ``attempts``, ``connection_events``: the lifecycle of an attempt.
- ``reducer``: the tables of events and router actions with their handlers.
"""
