"""The network code: connections to clients, cache servers, the origin and discovery.

The decision module has no sockets.
"""
