"""The load report of a simulated cache server: smoothed service time and renewal interval."""

from __future__ import annotations

import pytest

from cache_router.decisions.events import LoadReport
from scale_experiments.simulation.load_reporting import SERVICE_TIME_SMOOTHING, LoadReporter


def test_a_report_is_renewed_only_after_the_interval() -> None:
    reporter = LoadReporter(0.25)
    reporter.add_service_time(0.04)
    first = reporter.report(10.0, 3)
    assert first == LoadReport(0.04, 3.0)
    assert reporter.report(10.25, 7) is first
    assert reporter.report(10.26, 7) == LoadReport(0.04, 7.0)


def test_service_times_are_smoothed_from_the_first_one_on() -> None:
    reporter = LoadReporter(0.25)
    reporter.add_service_time(0.04)
    reporter.add_service_time(0.06)
    report = reporter.report(10.0, 0)
    assert report.service_time == pytest.approx(0.04 + SERVICE_TIME_SMOOTHING * 0.02)


def test_a_restart_resets_service_times_and_renews_the_report() -> None:
    reporter = LoadReporter(0.25)
    reporter.add_service_time(0.04)
    reporter.report(10.0, 3)
    reporter.restart()
    assert reporter.report(10.1, 0) == LoadReport(0.0, 0.0)
