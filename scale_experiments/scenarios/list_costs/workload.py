"""The endpoint list of a sample, its changes, and the settings of the router that receives them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
import orjson

from cache_router.endpoint import Endpoint
from cache_router.net.endpoint_list_reader import read_endpoint_list
from cache_router.settings import Settings
from cache_router.settings_reader import read_settings
from scale_experiments.endpoint_lists.endpoint_changes import ChangeSequence
from scale_experiments.endpoint_lists.endpoint_entries import EndpointEntry, build_snapshot, encode_list

START_TIME = 1e9  # seconds; the time at which a router is constructed


def build_settings(routers: int) -> Settings:
    """Build the settings that affect endpoint lists: an origin among the entries, and nominal weights."""
    return read_settings(
        {
            "classes": [{"name": "page-read", "aim": 0.3, "giveUp": 1.2, "effect": "free"}],
            "familyInfo": {"mode": "aside", "originKind": 1},
            "skus": ["std-1c", "origin"],
            "siblings": routers,
            "weights": "nominal",
        }
    )


def read_endpoints(text: bytes) -> tuple[Endpoint, ...]:
    """Parse the endpoints of a list in discovery's JSON format."""
    return tuple(each.entry for each in read_endpoint_list(orjson.loads(text)).endpoints)


@dataclass(slots=True, frozen=True)
class ListWorkload:
    """Input of a router in one sample, and the numbers of measurements."""

    settings: Settings
    entries: Sequence[EndpointEntry]
    changes_per_kind: int  # number of measurements of each kind of change
    repetitions: int  # number of measurements of a complete list and of a zone drain
    seed: int

    def changes(self) -> ChangeSequence:
        """Return the changes of the sample, which are the same in each call."""
        return self._changes(self.changes_per_kind)

    def first_change(self) -> bytes:
        """Return the first change in discovery's JSON format."""
        return next(iter(self._changes(1))).encoded()

    def snapshot(self) -> bytes:
        """Return the complete list in discovery's JSON format."""
        return encode_list(build_snapshot(1, self.entries))

    def _changes(self, rounds: int) -> ChangeSequence:
        return ChangeSequence(self.entries, np.random.default_rng(self.seed), rounds)
