"""Runs hollow routers: routers without a data path that watch discovery, each over its own sockets.

    python -m scale_experiments.routers.hollow

The process reads commands from standard input, one JSON object per line, and writes a reply to each on
standard output. It exits when its standard input is closed. The commands are `StartRouters`,
`GetRoutersStats` and `GetUpdateTimes` of `scale_experiments.emulators.messages.routers`.

The name follows the hollow node of Kubernetes, a kubelet without containers. Discovery cannot distinguish a
hollow router from a complete one: it consists of the `Discovery` and the `Dispatcher` of `cache_router`,
connected as in a complete router. The mode decides how a router handles an endpoint list:

- "router": the decision module handles every list.
- "list": the dispatcher stores the list, and the decision module receives the update without its endpoints.
  It still applies the backoff after failed polls, but builds no hash ring.
- "index": only the index is stored. Polls put the same bytes on the wire with as little work as possible, so
  that one machine can run several thousand routers.
"""

from __future__ import annotations

import asyncio
import logging

from scale_experiments.emulators.control import serve_commands
from scale_experiments.routers.hollow.fleet import COMMAND_TYPES, HollowFleet

if __name__ == "__main__":
    # failed polls are counted, not logged: thousands of log lines per second would cost more than the polls
    logging.basicConfig(level=logging.ERROR)
    asyncio.run(serve_commands(HollowFleet().handle, COMMAND_TYPES))
