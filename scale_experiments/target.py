"""The sizes of today's fleet and of the planned fleet, from target.toml.

The fields have the names of the file's keys, as capacity.toml refers to them by these names.
"""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StrictInt, ValidationError

from scale_experiments.runs.input_files import InputError, describe_validation_error, read_toml

TARGET_FILE = Path(__file__).parent / "experiments" / "target.toml"
LIST_CHANGES_PER_REPLACEMENT = 4  # assumes that a cache drains, leaves, joins and changes its weight
SECONDS_PER_DAY = 86_400
HEADROOM_FACTOR = 1.5  # multiple of the target's fleet size up to which a mechanism has to work

Count = Annotated[StrictInt, Field(ge=1)]
Amount = Annotated[float, Field(gt=0, strict=True, allow_inf_nan=False)]


class StrictTable(BaseModel):
    """A table of the file that requires every key and rejects unknown keys."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class TodaysFleet(StrictTable):
    """Today's fleet, which the standing test runs."""

    routers: Count
    caches: Count


class PlannedFleet(StrictTable):
    """The planned fleet and its load."""

    routers: Count
    sites: Count
    caches: Count
    regions: Count
    zones: Count
    requests_per_s: Amount
    bits_per_s: Amount
    objects: Count
    purges_per_s: Amount
    purge_done_everywhere_s: Amount
    # configuration changes: their number, and the time within which each has to be in force
    changes_per_day: Amount
    change_in_force_everywhere_s: Amount


class ControlBudget(StrictTable):
    """The resources of each router that the control plane may use, and the control plane's machines."""

    router_core_share: Annotated[Amount, Field(le=1)]
    router_memory_mb: Amount
    router_bytes_per_s: Amount
    control_machines: Count


class FailureRates(StrictTable):
    """Failure rates of the parts of the fleet."""

    machines_failing_per_day: Amount
    machines_restarted_or_replaced_per_day: Amount
    rack_or_switch_per_week: Amount
    # minimum and maximum
    zones_per_year: tuple[Count, Count]
    regions_cut_off: str


class MachineLimits(StrictTable):
    """The resources of the measuring machine that a run may use."""

    memory_share: Annotated[Amount, Field(le=1)]
    processes: str


class Target(StrictTable):
    """The contents of target.toml."""

    today: TodaysFleet
    target: PlannedFleet
    budget: ControlBudget
    failures: FailureRates
    rig: MachineLimits

    def list_changes_per_s(self) -> float:
        """Return the changes of the endpoint list per second, by configuration and replaced machines."""
        restarts = self.failures.machines_restarted_or_replaced_per_day
        return (self.target.changes_per_day + LIST_CHANGES_PER_REPLACEMENT * restarts) / SECONDS_PER_DAY


def load_target(file: Path = TARGET_FILE) -> Target:
    """Read and check the file; raises InputError, which names the file and the field."""
    try:
        return Target.model_validate(read_toml(file))
    except ValidationError as e:
        raise InputError(describe_validation_error(file, e)) from e
