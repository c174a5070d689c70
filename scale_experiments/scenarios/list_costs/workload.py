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

START_TIME = 1e9  # seconds; the time at which a router is made


def build_settings(routers: int) -> Settings:
    """Settings of a site as far as lists depend on them: with an origin in the list, and nominal weights."""
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
    """The endpoints of a list in discovery's JSON."""
    return tuple(each.entry for each in read_endpoint_list(orjson.loads(text)).endpoints)


@dataclass(slots=True, frozen=True)
class ListWorkload:
    """The input of a router in one sample: its settings, its list, and how often both are repeated."""

    settings: Settings
    entries: Sequence[EndpointEntry]
    changes_per_kind: int
    snapshots: int
    seed: int

    def changes(self) -> ChangeSequence:
        """The changes of the sample; each call returns the same."""
        return self._changes(self.changes_per_kind)

    def first_change(self) -> bytes:
        """The first change, as discovery's JSON."""
        return next(iter(self._changes(1))).encoded()

    def snapshot(self) -> bytes:
        """The complete list, as discovery's JSON."""
        return encode_list(build_snapshot(1, self.entries))

    def _changes(self, rounds: int) -> ChangeSequence:
        return ChangeSequence(self.entries, np.random.default_rng(self.seed), rounds)
