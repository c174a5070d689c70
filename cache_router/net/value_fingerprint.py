"""What is kept of a value, of up to 64 KiB, to recognize a copy of it that is complete or cut off."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Self

END_SIZE = 16  # bytes that are kept from the start and the end of a value


@dataclass(slots=True, frozen=True)
class ValueFingerprint:
    """The size of a value, its first and last bytes, and a hash of all but the last ones."""

    size: int
    prefix: bytes
    stem_hash: int
    suffix: bytes

    @classmethod
    def of(cls, value: bytes) -> Self:
        """Return the fingerprint of a value."""
        stem, suffix = value[:-END_SIZE], value[-END_SIZE:]
        return cls(len(value), value[:END_SIZE], hash(stem), suffix)

    def matches(self, value: bytes) -> bool:
        """Return whether a value is equal to this one."""
        return self._has_equal_stem(value) and value[-END_SIZE:] == self.suffix

    def matches_cut_copy(self, value: bytes, response_start: bytes) -> bool:
        """Return whether a value is a first part of this one, completed by the start of a response.

        If a copy of a response is cut off, the next response is taken for its rest. `response_start` is what
        all responses begin with. A value that has the size and the first bytes of this one, and contains
        `response_start`, counts as such a copy, as the bytes in between are not kept.
        """
        return self._is_cut_in_stem(value, response_start) or self._is_cut_in_suffix(value, response_start)

    def _has_equal_stem(self, value: bytes) -> bool:
        return len(value) == self.size and hash(value[:-END_SIZE]) == self.stem_hash

    def _is_cut_in_stem(self, value: bytes, response_start: bytes) -> bool:
        if len(value) != self.size:
            return False
        cut = value.find(response_start)
        return cut >= 0 and value.startswith(self.prefix[:cut])

    def _is_cut_in_suffix(self, value: bytes, response_start: bytes) -> bool:
        """Return whether the copy lacks so few bytes that `response_start` may itself be cut off."""
        if not self._has_equal_stem(value):
            return False
        suffix = value[-END_SIZE:]
        return any(
            suffix[:cut] == self.suffix[:cut] and _begins_alike(suffix[cut:], response_start)
            for cut in range(len(suffix))
        )


def _begins_alike(first: bytes, second: bytes) -> bool:
    """Return whether one of two byte strings begins with the other."""
    return first.startswith(second) or second.startswith(first)
