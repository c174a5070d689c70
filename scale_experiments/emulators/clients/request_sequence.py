"""Generation of the requests to one router, encoded in the router's protocol; no I/O."""

from __future__ import annotations

from collections.abc import Iterator

import numpy as np

from cache_router.net.resp import encode_command
from scale_experiments.emulators.messages.clients import StartClients

RANDOM_BATCH_SIZE = 4096  # requests per batch; the sequence of a seed depends on it


class RequestSequence:
    """Endless sequence of random reads and writes, which is the same for the same seed.

    Keys follow Zipf's law: the popularity of the key of rank r is proportional to r to the power of
    `-zipf_exponent`.
    """

    def __init__(self, command: StartClients, seed: int, random: np.random.Generator) -> None:
        self._seed = seed
        self._random = random
        self._write_share = command.write_share
        self._value = b"w" * command.value_bytes
        deadline_ms = int(command.deadline_s * 1000)
        self._read_info = f"c={command.read_class},t=t,d={deadline_ms}".encode()
        self._write_info = f"c={command.write_class},t=t,d={deadline_ms}".encode()
        weights = 1.0 / np.arange(1, command.keys + 1) ** float(command.zipf_exponent)
        self._cumulative_popularity = np.cumsum(weights) / weights.sum()
        self._request_count = 0

    def __iter__(self) -> Iterator[bytes]:
        """Yield encoded requests without end."""
        while True:
            keys = np.searchsorted(self._cumulative_popularity, self._random.random(RANDOM_BATCH_SIZE))
            writes = self._random.random(RANDOM_BATCH_SIZE) < self._write_share
            for key, is_write in zip(keys.tolist(), writes.tolist(), strict=True):
                self._request_count += 1
                yield self._encode(key, is_write=is_write)

    def _encode(self, key_number: int, *, is_write: bool) -> bytes:
        key = b"%016x" % key_number
        request_id = b"%08x%08x" % (self._seed, self._request_count)
        if is_write:
            request_info = self._write_info + b",k=" + request_id  # idempotency key: the request id
            return encode_command([b"C.SET", key, request_id, request_info, self._value])
        return encode_command([b"C.GET", key, request_id, self._read_info])
