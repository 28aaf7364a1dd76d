"""The relay of the change log: it follows the log, or another relay, and serves it to many followers.

``front`` serves followers' connections, ``upstream`` polls the log or relay above, ``config`` reads the
configuration file, ``serve`` starts and stops the relay, ``status`` reports its state. Decisions are made in
``hallproxy.feed``.
"""
