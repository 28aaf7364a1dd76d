"""Codecs between bytes and the core's types, one module for each protocol; no I/O and no decisions.

They cover the clients' frames, HTTP/1.1 heads, endpoints' requests and responses, the change log's pages,
the simulator's frames and the settings. No other package uses the protocols' external names.
"""
