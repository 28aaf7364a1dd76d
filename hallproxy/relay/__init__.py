"""The relay of the change log: it follows the log, or another relay, and serves the same to many.

``front`` has its connections, ``upstream`` the one it follows, ``config`` its file, ``serve`` its start and
stop, ``status`` what it says of itself. What is decided is decided in ``hallproxy.feed``.
"""
