"""A cache of files on disk by digest, which the repository uses if its deploy file names a directory.

``file_table`` decides what is cached and what is evicted, ``disk`` reads and writes the files, and ``spool``
receives large files, whose downloads can be resumed.
"""
