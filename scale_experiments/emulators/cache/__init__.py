"""Emulated cache servers and the origin behind them, several hundred cache servers in one process.

`__main__` is the entry point, and `emulator` executes the commands of the control channel. `server` is one
cache server; `connection`, `keys` and `statistics` are its parts. `cluster` is the state that all cache
servers of the process share, and `origin` is the store behind them.
"""
