"""Emulated discovery: serves endpoint lists and long polls; thousands of polls can wait in one process.

`__main__` is the entry point, `emulator` executes the commands of its control channel and answers polls,
`poll_connection` is a connection that carries polls, `endpoint_registry` stores the endpoint list and its
changes, and `statistics` has the counters.
"""
