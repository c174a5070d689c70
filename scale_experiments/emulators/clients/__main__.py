"""Emulates clients of routers: an open-loop load of reads and writes over RESP2, with keys by Zipf's law.

    python -m scale_experiments.emulators.clients

The process reads commands from standard input, one JSON object per line, and writes a reply to each on
standard output. It exits when standard input ends. The commands are `StartClients`, `PauseClients` and
`GetClientsStats` of `scale_experiments.emulators.messages.clients`.

Requests are due at random times at the given rate, whether or not earlier ones have a reply. One seed
determines the requests and when they are due. Requests reuse idle connections; a new one is opened when all
are busy. A request that is lost because the router closed an idle connection at the same time is retried
once; there are no other retries.
"""

from __future__ import annotations

import asyncio

from scale_experiments.emulators.clients.emulator import COMMAND_TYPES, ClientsEmulator
from scale_experiments.emulators.control import serve_commands

if __name__ == "__main__":
    asyncio.run(serve_commands(ClientsEmulator().handle, COMMAND_TYPES))
