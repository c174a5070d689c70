"""Emulated page caches and the origin behind them, several hundred caches in one process.

`__main__` is the command, `emulator` carries out the commands of its control channel, `server` is one page
cache, `connection` a connection to it, and `cluster` what all caches of the process share.
"""
