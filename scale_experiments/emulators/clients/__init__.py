"""Emulated clients of routers: an open-loop load of reads and writes on each router, from one process.

`__main__` is the entry point, and `emulator` executes the commands of the control channel. `load` is the load
on one router: `request_sequence` generates its requests, `connection` sends them, and `statistics` counts
their outcomes.
"""
