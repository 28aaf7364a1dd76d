"""Files kept on disk by their digest: what is there and what leaves (``file_table``), and the reading and
writing of it (``disk``). The second front uses it where its deploy file names a directory.
"""
