"""Parsing of load reports."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import LoadReport
from cache_router.load_report import parse_load_report
from cache_router.settings_reader import read_settings

FIELD_NAMES = ("svc_ms", "pending")


@pytest.mark.parametrize(
    "text",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"svc_ms=1", id="a field is absent"),
        pytest.param(b"svc_ms=nan,pending=1", id="not a number"),
        pytest.param(b"svc_ms=1,pending=inf", id="infinite"),
        pytest.param(b"svc_ms=-1,pending=0", id="negative"),
        pytest.param(b"x" * 9000, id="too long"),
        pytest.param(b"\xff=,=", id="not ASCII"),
    ],
)
def test_malformed_report_is_ignored(text: bytes) -> None:
    assert parse_load_report(text, FIELD_NAMES) is None


def test_report_is_read_by_the_field_names_of_the_settings() -> None:
    conf = {"classes": [{"name": "read"}], "loadReport": {"fields": [*FIELD_NAMES, "x0"]}}
    names = read_settings(conf).load_report_fields
    assert parse_load_report(b"x0=1,pending=2.5,svc_ms=40,other=3", names) == LoadReport(0.04, 2.5)
    assert parse_load_report(b"pending=2.5,svc_ms=40", ()) is None
