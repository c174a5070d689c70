"""The file descriptors that a router may open, and their division."""

from __future__ import annotations

import resource

import pytest

from cache_router.config import ConfigError
from cache_router.descriptor_budget import DescriptorBudget, usable_descriptors


@pytest.mark.parametrize(
    ("limit", "usable"), [(resource.RLIM_INFINITY, 1024), (4096, 1024), (1024, 1024), (64, 64), (63, None)]
)
def test_usable_descriptors_are_bounded_by_the_process_limit(
    limit: int, usable: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The lower of the configured and the process limit applies; too low a limit raises a ConfigError."""
    monkeypatch.setattr(resource, "getrlimit", lambda _: (limit, resource.RLIM_INFINITY))
    if usable is None:
        with pytest.raises(ConfigError, match=r"^limits\.sockets"):
            usable_descriptors(1024)
    else:
        assert usable_descriptors(1024) == usable


def test_descriptors_are_divided_between_the_kinds_of_connections() -> None:
    """Cache servers, the origin and clients each have their own share."""
    assert DescriptorBudget.divide(1024) == DescriptorBudget(372, 124, 496)
    assert DescriptorBudget.divide(64) == DescriptorBudget(12, 4, 16)
