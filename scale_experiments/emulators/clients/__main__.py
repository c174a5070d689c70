"""Clients of routers: an open load of reads and writes over RESP2, keys by Zipf's law, all from one seed.

    python -m scale_experiments.emulators.clients

A client reuses its connections and opens a further one when all are busy. A request that crossed the router's
close is retried once; there are no other retries. Commands: `StartClients`, `PauseClients` and
`GetClientsStats` of `scale_experiments.emulators.messages`.
"""

from __future__ import annotations

import asyncio

from scale_experiments.emulators.clients.emulator import COMMAND_TYPES, ClientsEmulator
from scale_experiments.emulators.control import serve_commands

if __name__ == "__main__":
    asyncio.run(serve_commands(ClientsEmulator().handle, COMMAND_TYPES))
