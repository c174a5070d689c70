"""Emulates clients of routers: an open load of reads and writes over RESP2, whose keys follow Zipf's law.

    python -m scale_experiments.emulators.clients

The process reads commands from standard input, one JSON object a line, and writes a reply to each on standard
output. It ends with its standard input. The commands are `StartClients`, `PauseClients` and `GetClientsStats`
of `scale_experiments.emulators.messages.clients`.

Requests arrive at random at the given rate, also while earlier ones have no reply. All of them come from one
seed. A client reuses its connections and opens another one when all are busy. A request that is lost because
the router closed an idle connection at the same time is retried once; there are no other retries.
"""

from __future__ import annotations

import asyncio

from scale_experiments.emulators.clients.emulator import COMMAND_TYPES, ClientsEmulator
from scale_experiments.emulators.control import serve_commands

if __name__ == "__main__":
    asyncio.run(serve_commands(ClientsEmulator().handle, COMMAND_TYPES))
