"""The rules of the router's network code that the simulation models, by the module that implements them.

That code needs an event loop. The simulation implements the rules again instead of loading it.
tests/scale_experiments/test_simulated_connection_{reuse,closing}.py give both pools the same attempts, and
fail when they differ.

`cache_router.net.connection_pool`, modelled in `simulation.connection_pool`:

- A connection carries one attempt at a time, and is kept for reuse after a complete answer.
- It may be reused `REUSE_DELAY` seconds after that answer at the earliest.
- Of the idle connections to a server, the one that has been idle for longest is reused first.
- An idle connection is closed `IDLE_MARGIN` seconds before the server may close it.
- A connection to an earlier process at the same address is closed instead of being reused.
- Idle and pending connections count towards the descriptor budget. When the budget is used up, the
  connection that has been idle for longest is closed. If no connection is idle, the attempt is not sent.
- Whether an attempt may still be sent is checked again once its connection is up. If only the request was
  too late, the connection is kept.
- An attempt that is abandoned closes its connection.

One difference is known: within the reuse delay the simulated pool leaves a connection to an earlier process
idle. A router closes such connections once its endpoint list names the new process, so that few remain.

`cache_router.net.dispatcher`, modelled in `simulation.clients`, `simulation.router` and
`simulation.attempt_runner`:

- A request's deadline is `DEADLINE_MARGIN` seconds before its client's.
- Idle connections to a server that is draining, removed or restarted are closed.
- An attempt numbered `Settings.max_attempts` or higher is not sent.
"""

from __future__ import annotations

IDLE_MARGIN = 0.5  # seconds
REUSE_DELAY = 0.01  # seconds
DEADLINE_MARGIN = 0.02  # seconds
# A router reserves 32 of 1,024 descriptors, and uses 3/8 of the others for cache servers.
ROUTER_DESCRIPTORS = (1024 - 32) * 3 // 8
