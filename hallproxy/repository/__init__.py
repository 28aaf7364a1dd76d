"""The second front, for package repositories: protocol (``simple``, ``ranges``, ``codings``), serving
(``front``, ``rejection``), the deploy file (``config``), and start and shutdown (``serve``).
"""
