"""Emulated clients of routers: an open load of reads and writes on each router, in one process.

`__main__` is the command, `emulator` carries out the commands of its control channel, `load` is the load
on one router, `request_sequence` makes its requests, `connection` carries them, and `statistics` counts their
outcomes.
"""
