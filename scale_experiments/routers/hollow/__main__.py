"""Runs hollow routers: routers without their data path that watch discovery, each over its own sockets.

    python -m scale_experiments.routers.hollow

The process reads commands from standard input, one JSON object a line, and writes a reply to each on standard
output. It ends with its standard input. The commands are `StartRouters`, `GetRoutersStats` and
`GetUpdateTimes` of `scale_experiments.emulators.messages.routers`.

The name follows the hollow node of Kubernetes, a kubelet without containers. Discovery cannot distinguish a
hollow router from a complete one: it is the program's own `Discovery` and `Dispatcher`, connected as the
program connects them. The mode decides what a router does with an endpoint list:

- "router": the decision module handles every list.
- "list": the dispatcher stores the list, and the decision module only learns that there was one. The backoff
  after failed polls stays in force, and no ring is built.
- "index": only the index is stored. A poll is sent and read with the least work that puts the same bytes on
  the wire, so that one machine can run several thousand routers.
"""

from __future__ import annotations

import asyncio
import logging

from scale_experiments.emulators.control import serve_commands
from scale_experiments.routers.hollow.fleet import COMMAND_TYPES, HollowFleet

if __name__ == "__main__":
    # failed polls are counted; some thousand log lines a second would cost more than the polls
    logging.basicConfig(level=logging.ERROR)
    asyncio.run(serve_commands(HollowFleet().handle, COMMAND_TYPES))
