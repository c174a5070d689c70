"""Hollow routers: hundreds in one process, each with the real watch over a real socket and no clients.

    python -m scale_experiments.routers.hollow

A hollow router is a router without its data path, as a hollow node of Kubernetes is a kubelet without
containers: discovery can't tell it from a whole one. It is the program's own `Discovery` and `Dispatcher`,
put together as the program does it. What it does with an endpoint list depends on its mode:

- "router": the decision module handles every list.
- "list": the dispatcher stores the list, and the decision module only learns that there was one. Its backoff
  after failed polls stays in force, and no ring is built.
- "index": only the index is stored. A poll is made and read with the least work that puts the same bytes on
  the wire, so that one machine bears the load of some thousand routers on discovery.

Commands: `StartRouters`, `GetRoutersStats` and `GetUpdateTimes` of `scale_experiments.emulators.messages`.
"""

from __future__ import annotations

import asyncio
import logging

from scale_experiments.emulators.control import serve_commands
from scale_experiments.routers.hollow.fleet import COMMAND_TYPES, HollowFleet

if __name__ == "__main__":
    # failed polls are counted; some thousand lines a second would cost more than the polls
    logging.basicConfig(level=logging.ERROR)
    asyncio.run(serve_commands(HollowFleet().handle, COMMAND_TYPES))
