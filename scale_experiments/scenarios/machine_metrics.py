"""Speed and load of the measuring machine, by which results of different runs can be compared."""

from __future__ import annotations

from collections.abc import Sequence

from pydantic import Field

from scale_experiments.measurement.reference_work import MACHINE_METRICS, machine_metrics
from scale_experiments.runs.metrics import Count, Metrics, Seconds


class MachineMetrics(Metrics):
    """Metrics of the machine during a sample."""

    reference_cpu_s: Seconds = Field(description=MACHINE_METRICS["reference_cpu_s"])
    load: Count = Field(description=MACHINE_METRICS["load"])


def measure_machine(references: Sequence[float]) -> MachineMetrics:
    """Return the metrics of the machine; `references` are CPU seconds of the reference work in the sample."""
    return MachineMetrics(**machine_metrics(references))
