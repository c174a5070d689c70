"""Rules of the router's network code that the simulation models, grouped by the module that implements them.

The network code needs an event loop. The simulation therefore reimplements its rules.
tests/scale_experiments/test_simulated_connection_{reuse,closing}.py run the same scenarios on both
connection pools, and fail if their behaviour differs.

`cache_router.net.connection_pool`, modelled in `simulation.connection_pool`:

- A connection carries one attempt at a time, and is kept for reuse after a complete response.
- It is reused `REUSE_DELAY` seconds after that response at the earliest.
- Of the idle connections to a server, the one that has been idle for longest is reused first.
- An idle connection is closed `IDLE_MARGIN` seconds before the server may close it.
- A connection to an earlier process at the same address is closed instead of being reused.
- All connections, also those being opened, count towards the descriptor budget. If a new connection would
  exceed the budget, the connection that has been idle for longest is closed. If no connection is idle, the
  attempt is not sent.
- The precondition of an attempt is checked again once its new connection is established. If only the
  request has ended, the connection is kept.
- When an attempt is abandoned, its connection is closed.

There is one known difference: within the reuse delay the simulated pool keeps an idle connection to an
earlier process, and the network code closes it. Few such connections exist, since a router closes them once
its endpoint list has the new process.

`cache_router.net.dispatcher`, modelled in `simulation.clients`, `simulation.router` and
`simulation.attempt_runner`:

- The deadline of a request is `DEADLINE_MARGIN` seconds before that of its client.
- Idle connections to a server that is draining, removed or restarted are closed.
- An attempt numbered `Settings.max_attempts` or higher is not sent.
"""

from __future__ import annotations

IDLE_MARGIN = 0.5  # seconds
REUSE_DELAY = 0.01  # seconds
DEADLINE_MARGIN = 0.02  # seconds
# A router with a limit of 1,024 descriptors reserves 32 and uses 3/8 of the others for cache servers.
ROUTER_DESCRIPTORS = (1024 - 32) * 3 // 8
