"""Typed metrics: their descriptions are those of the fields, and only declared values are accepted."""

from __future__ import annotations

import pytest
from pydantic import Field, ValidationError

from scale_experiments.runs.metrics import Count, Metrics, Seconds
from scale_experiments.scenarios.registry import SCENARIOS


class WaitMetrics(Metrics):
    """Metrics of waits."""

    waits_count: Count = Field(description="waits that were started")
    longest_s: Seconds | None = Field(None, description="the longest wait, if there was any")


def test_descriptions_are_those_of_the_fields_in_their_order() -> None:
    descriptions = {
        "waits_count": "waits that were started",
        "longest_s": "the longest wait, if there was any",
    }
    assert list(WaitMetrics.descriptions().items()) == list(descriptions.items())


def test_values_keep_the_order_in_which_they_are_given() -> None:
    values = WaitMetrics(longest_s=0.5, waits_count=2).values()
    assert list(values.items()) == [("longest_s", 0.5), ("waits_count", 2.0)]


def test_a_value_that_was_not_measured_is_omitted() -> None:
    assert WaitMetrics(waits_count=0, longest_s=None).values() == {"waits_count": 0.0}


def test_a_metric_that_is_missing_or_not_declared_is_rejected() -> None:
    with pytest.raises(ValidationError, match="waits_count"):
        WaitMetrics.model_validate({"longest_s": 1.0})
    with pytest.raises(ValidationError, match="shortest_s"):
        WaitMetrics.model_validate({"waits_count": 1, "shortest_s": 1.0})


@pytest.mark.parametrize("name", list(SCENARIOS))
def test_every_metric_of_a_scenario_is_described(name: str) -> None:
    descriptions = SCENARIOS[name].metric_descriptions
    assert descriptions
    assert all(descriptions.values())
