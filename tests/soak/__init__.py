"""Soak: the router's process between stand-ins for all of its peers, under faults that a seed draws.

`python -m tests.soak --help` runs it by hand. `plan` draws what happens, `run` plays it, `checks` judges
what the peers saw.
"""
