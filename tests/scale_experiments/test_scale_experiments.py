"""The command line: rejected input, exit statuses, and the samples that an interrupted run keeps."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
from hdrh.histogram import HdrHistogram
from pydantic import BaseModel

from scale_experiments.measurement.histograms import decode_histogram
from scale_experiments.runs.context import ExperimentContext
from scale_experiments.runs.experiment import CheckedExperiment, Experiment, load_experiment
from scale_experiments.runs.input_files import InputError
from scale_experiments.runs.results import load_result
from scale_experiments.runs.runner import RunOutcome, run
from scale_experiments.runs.sample import Sample
from scale_experiments.runs.scenario import Scenario
from scale_experiments.scenarios.registry import SCENARIOS
from scale_experiments.target import TARGET_FILE, load_target

ROOT = Path(__file__).parents[2]
TIMEOUT_S = 120.0
SMALL_EXPERIMENT = """
name = "small"
kind = "list_change"
seed = 3
time_limit_s = 60
[parameters]
changes = 1
whole_lists = 1
[[sizes]]
caches = 5
changes_per_s = 0.5
[[sizes]]
caches = 20
changes_per_s = 0.5
[[budgets]]
metric = "whole_list_bytes"
most = 1e6
at = { caches = 20 }
"""


def write_experiment(folder: Path, old: str = "", new: str = "") -> Path:
    """Write the small experiment, with one part of its text replaced."""
    assert old in SMALL_EXPERIMENT
    file = folder / "small.toml"
    file.write_text(SMALL_EXPERIMENT.replace(old, new, 1))
    return file


def command(*args: str | Path) -> list[str]:
    return [sys.executable, "-m", "scale_experiments", *map(str, args)]


def run_command(*args: str | Path) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        command(*args), cwd=ROOT, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )


@pytest.mark.parametrize(
    ("old", "new", "field"),
    [
        ("seed = 3", "seed = = 3", "file"),
        ("seed = 3", "", "seed"),
        ("seed = 3", "seed = -3", "seed"),
        ("seed = 3", "sede = 3", "sede"),
        ('"small"', '"other"', "name"),
        ('"list_change"', '"list_chnge"', "kind"),
        ("time_limit_s = 60", "time_limit_s = inf", "time_limit_s"),
        ("changes = 1", "changes = 0", "parameters.changes"),
        ("changes = 1", "chnges = 1", "parameters.chnges"),
        ("caches = 5", "caches = true", "sizes[0].caches"),
        ("caches = 5", "caches = -5", "sizes[0].caches"),
        ("caches = 5", "", "sizes[0].caches"),
        ("whole_list_bytes", "whole_list_byte", "budgets[0].metric"),
        ("most = 1e6", "most = nan", "budgets[0].most"),
        ("{ caches = 20 }", "{ caches = 21 }", "budgets[0].at"),
    ],
)
def test_an_input_error_names_file_and_field(tmp_path: Path, old: str, new: str, field: str) -> None:
    file = write_experiment(tmp_path, old, new)
    with pytest.raises(InputError) as rejected:
        load_experiment(file, SCENARIOS)
    assert str(rejected.value).startswith(f"{file}: {field}: ")
    assert "\n" not in str(rejected.value)


def test_the_error_for_an_unknown_parameter_lists_the_keys_of_the_file(tmp_path: Path) -> None:
    file = write_experiment(tmp_path, '"list_change"', '"zone_loss"')
    with pytest.raises(
        InputError, match=r"parameters\.changes: is not a known key; known keys are lost, .*, tries, "
    ):
        load_experiment(file, SCENARIOS)


def test_every_experiment_of_the_repository_can_be_run() -> None:
    files = {*(ROOT / "scale_experiments" / "experiments").glob("*.toml")} - {TARGET_FILE}
    assert files
    for file in files:
        load_experiment(file, SCENARIOS)


def test_the_target_is_read_and_its_errors_name_the_field(tmp_path: Path) -> None:
    assert load_target().target.caches > load_target().today.caches
    file = tmp_path / "target.toml"
    file.write_text(TARGET_FILE.read_text().replace("caches = 840", "caches = 0"))
    with pytest.raises(InputError, match=r"target\.toml: target\.caches: "):
        load_target(file)


def test_a_small_run_measures_both_sizes(tmp_path: Path) -> None:
    completed = run_command("run", write_experiment(tmp_path), "--out", tmp_path)
    assert completed.returncode == 0, completed.stderr
    result = load_result(tmp_path / "small.json")
    assert result.complete
    assert [s.size["caches"] for s in result.samples] == [5, 20]
    small, large = (s.metrics for s in result.samples)
    assert set(small) == set(large) == set(result.metric_descriptions)
    assert all(value > 0 for value in large.values())
    assert small["whole_list_bytes"] < large["whole_list_bytes"]
    assert small["router_bytes"] < large["router_bytes"]
    # one change of each of the five kinds
    assert decode_histogram(result.samples[0].histograms["change_us"]).get_total_count() == 5


def test_an_exceeded_budget_is_status_1_and_the_result_is_kept(tmp_path: Path) -> None:
    completed = run_command(
        "run", write_experiment(tmp_path, "most = 1e6", "most = 1"), "--out", tmp_path, "--label", "trial"
    )
    assert completed.returncode == 1
    assert "whole_list_bytes at caches 20" in completed.stdout
    assert load_result(tmp_path / "small.trial.json").complete


def test_bad_input_is_status_2_and_one_line(tmp_path: Path) -> None:
    for name in ("small.toml", "absent.toml"):
        write_experiment(tmp_path, "seed = 3", "seed = 0.5")
        completed = run_command("run", tmp_path / name)
        assert completed.returncode == 2
        assert len(completed.stderr.splitlines()) == 1
        assert name in completed.stderr


def test_ctrl_c_keeps_the_measured_samples(tmp_path: Path) -> None:
    """Interrupts the second size, which takes longer to measure than this test runs."""
    file = write_experiment(tmp_path, "whole_lists = 1\n", "whole_lists = 100\n")
    file.write_text(file.read_text().replace("caches = 20", "caches = 2000"))
    path = tmp_path / "small.json"
    with subprocess.Popen(
        command("run", file, "--out", tmp_path), cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.PIPE
    ) as process:
        try:
            deadline = time.monotonic() + TIMEOUT_S
            while not path.exists() and time.monotonic() < deadline:
                time.sleep(0.02)
            process.send_signal(signal.SIGINT)
            process.communicate(timeout=TIMEOUT_S)
        finally:
            process.kill()
    assert process.returncode == 130
    result = load_result(path)
    assert not result.complete
    assert [s.size["caches"] for s in result.samples] == [5]
    assert not list(tmp_path.glob("*.tmp"))


class NoParameters(BaseModel):
    """An empty table of parameters."""


class StubSize(BaseModel):
    """The columns of a size."""

    routers: int


class Stub:
    """A scenario that yields one sample, starts a process, and waits in an event loop to be interrupted."""

    def __init__(self, signal_number: signal.Signals | None) -> None:
        self.signal_number = signal_number
        self.process: subprocess.Popen[bytes] | None = None

    def measure(
        self, parameters: NoParameters, size: StubSize, seed: int, context: ExperimentContext
    ) -> Iterator[Sample]:
        assert size.routers == 1
        histogram = HdrHistogram(1, 1000, 2)
        histogram.record_value(7)
        yield Sample({"waits_count": 1.0}, {"wait_us": histogram})
        self.process = context.spawn(["sleep", "600"])
        asyncio.run(self._wait())

    async def _wait(self) -> None:
        if self.signal_number is not None:
            asyncio.get_running_loop().call_soon(os.kill, os.getpid(), self.signal_number)
        await asyncio.sleep(600)


def run_stub(stub: Stub, path: Path, time_limit_s: float, metric: str = "waits_count") -> RunOutcome:
    """Run an experiment whose scenario is the stub and declares one metric."""
    experiment = Experiment(
        name="stub", kind="stub", seed=1, time_limit_s=time_limit_s, sizes=[{"routers": 1}]
    )
    scenario = Scenario(
        description="Waits.",
        parameters=NoParameters,
        size=StubSize,
        metric_descriptions={metric: "waits that were started"},
        measure=stub.measure,
    )
    return run(CheckedExperiment(experiment, scenario, NoParameters()), path)


@pytest.mark.parametrize(
    ("signal_number", "time_limit_s", "by_signal"),
    [(signal.SIGINT, 60.0, True), (signal.SIGTERM, 60.0, True), (None, 0.1, False)],
)
def test_an_interrupted_run_ends_its_processes_and_keeps_its_samples(
    tmp_path: Path, signal_number: signal.Signals | None, time_limit_s: float, by_signal: bool
) -> None:
    stub = Stub(signal_number)
    previous_handler = signal.getsignal(signal.SIGINT)
    outcome = run_stub(stub, tmp_path / "stub.json", time_limit_s)
    result = outcome.result
    assert outcome.interrupted is by_signal
    assert not result.complete
    assert load_result(tmp_path / "stub.json") == result
    assert decode_histogram(result.samples[0].histograms["wait_us"]).get_max_value() == 7
    assert stub.process is not None
    assert stub.process.returncode is not None
    assert signal.getsignal(signal.SIGINT) is previous_handler


def test_a_metric_that_the_scenario_does_not_declare_is_rejected(tmp_path: Path) -> None:
    with pytest.raises(ValueError, match="waits_count"):
        run_stub(Stub(None), tmp_path / "stub.json", 60.0, metric="other_count")
    assert not (tmp_path / "stub.json").exists()
