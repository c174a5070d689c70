"""Fixtures that the tests of the network code share."""

from __future__ import annotations

from collections.abc import AsyncIterator

import pytest

from tests.support.upstream_attempts import AttemptRecorders


@pytest.fixture
async def attempt_recorders() -> AsyncIterator[AttemptRecorders]:
    """Yield a factory of attempt recorders; their connections are closed after the test."""
    with AttemptRecorders() as recorders:
        yield recorders
