"""News for many: whom a follower asks. Decisions without I/O and without a clock."""
