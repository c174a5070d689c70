"""The size of today's fleet and the one planned for, from `scale_experiments/experiments/target.toml`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from pydantic import BaseModel, ConfigDict, Field, StrictInt, ValidationError

from scale_experiments.experiment import InputError, fault, read_table

TARGET = Path(__file__).parent / "experiments" / "target.toml"
LIST_CHANGES_PER_REPLACEMENT = 4  # assumed: it drains, goes, joins, and one for its weight
SECONDS_PER_DAY = 86_400
HEADROOM_FACTOR = 1.5  # times the target: how far a mechanism must hold

Count = Annotated[StrictInt, Field(ge=1)]
Amount = Annotated[float, Field(gt=0, strict=True, allow_inf_nan=False)]


class Table(BaseModel):
    """A table of the file: nothing is left out, and nothing is unknown."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class Today(Table):
    """The fleet of the standing test."""

    routers: Count
    caches: Count


class Planned(Table):
    """The fleet planned for, and what it has to carry."""

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
    changes_per_day: Amount  # of configuration
    change_in_force_everywhere_s: Amount


class Budget(Table):
    """What control may cost: each router, and all control machines."""

    router_core_share: Annotated[Amount, Field(le=1)]
    router_memory_mb: Amount
    router_bytes_per_s: Amount
    control_machines: Count


class Failures(Table):
    """How often what fails."""

    machines_failing_per_day: Amount
    machines_restarted_or_replaced_per_day: Amount
    rack_or_switch_per_week: Amount
    zones_per_year: tuple[Count, Count]
    regions_cut_off: str


class Rig(Table):
    """What a run may take of its machine."""

    memory_share: Annotated[Amount, Field(le=1)]
    processes: str


class Target(Table):
    """The whole file."""

    today: Today
    target: Planned
    budget: Budget
    failures: Failures
    rig: Rig

    def list_changes_per_s(self) -> float:
        """Changes of the list a second: those of configuration, and four for each restart or replacement."""
        restarts = self.failures.machines_restarted_or_replaced_per_day
        return (self.target.changes_per_day + LIST_CHANGES_PER_REPLACEMENT * restarts) / SECONDS_PER_DAY


def load_target(file: Path = TARGET) -> Target:
    """The sizes; raises InputError with file and field."""
    try:
        return Target.model_validate(read_table(file))
    except ValidationError as e:
        raise InputError(fault(file, e)) from e
