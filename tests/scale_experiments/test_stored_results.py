"""Tests that each stored result can be loaded, and that it is written again with the same bytes."""

from __future__ import annotations

from pathlib import Path

import pytest

from scale_experiments.measurement.histograms import decode_histogram
from scale_experiments.runs.results import load_result, write_result

RESULTS = sorted((Path(__file__).parents[2] / "scale_experiments" / "results").glob("*.json"))


def test_results_are_kept() -> None:
    assert RESULTS


@pytest.mark.parametrize("path", RESULTS, ids=lambda path: path.stem)
def test_a_stored_result_is_read_and_written_again_to_the_byte(path: Path, tmp_path: Path) -> None:
    result = load_result(path)
    assert result.samples
    assert all(set(sample.metrics) <= set(result.metric_descriptions) for sample in result.samples)
    for sample in result.samples:
        for histogram in sample.histograms.values():
            assert decode_histogram(histogram).get_total_count() > 0
    rewritten = tmp_path / path.name
    write_result(result, rewritten)
    assert rewritten.read_bytes() == path.read_bytes()
