"""Emulated discovery: serves whole endpoint lists and watches, several thousand waiting polls in one process.

`__main__` is the command, `emulator` carries out the commands of its control channel and answers polls,
`poll_connection` is a connection that carries polls, and `endpoint_registry` the list with its changes.
"""
