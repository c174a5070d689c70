"""Reading of a site's settings, and their defaults."""

from __future__ import annotations

import pytest

from cache_router.settings import Idempotency, IdempotencyScope, SettingsError
from cache_router.settings_reader import read_settings
from tests.support.settings_json import SETTINGS_JSON


def test_settings_are_read() -> None:
    conf = read_settings(SETTINGS_JSON)
    pay = conf.classes["pay"]
    assert (pay.idempotency, pay.idempotency_scope, pay.idempotency_window) == (
        Idempotency.WITH_KEY,
        IdempotencyScope.ZONE,
        5.0,
    )
    assert (conf.cache_aside, conf.origin_kind, conf.must_subscribe, conf.clock_resolution) == (
        True,
        "store",
        True,
        0.01,
    )
    assert (conf.max_attempts, conf.hedging_allowed, conf.cancellation_allowed) == (3, True, True)
    assert (
        conf.slow_start_initial_share,
        conf.slow_start_duration,
        conf.overload_multiple,
        conf.overload_window,
    ) == (0.2, 8.0, 3.0, 1.5)


def test_absent_settings_take_the_most_careful_values() -> None:
    """A router retries, hedges and cancels only where the settings of its site permit it."""
    conf = read_settings({"classes": [{"name": "x"}]})
    assert conf.classes["x"].idempotency is Idempotency.NOT_IDEMPOTENT
    assert (conf.hedging_allowed, conf.cancellation_allowed, conf.max_attempts) == (False, False, 1)


@pytest.mark.parametrize("fields", ["svc_ms", [1], {}])
def test_malformed_field_names_are_rejected(fields: object) -> None:
    with pytest.raises(SettingsError, match=r"loadReport\.fields"):
        read_settings({"classes": [{"name": "read"}], "loadReport": {"fields": fields}})
