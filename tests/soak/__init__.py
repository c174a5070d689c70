"""Soak test: the router's process between stand-ins for all of its peers, under faults drawn from a seed.

`python -m tests.soak` runs it, `--help` lists the options. `plan` draws the faults, signals and load, `run`
executes the plan, and `checks` verifies the observations of the peers.
"""
