"""The metrics of a scenario as a typed class, which also provides their descriptions.

A metric is a field: its annotation states the unit, and `Field(description=...)` the meaning. The name of the
field is the key in result files. Validation rejects samples with a metric that is not declared, and samples
that lack a required metric.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated

from pydantic import BaseModel, ConfigDict, PrivateAttr


class Unit(StrEnum):
    """The unit of a metric."""

    BYTES = "bytes"
    BYTES_PER_SECOND = "bytes per second"
    CORES = "cores"
    COUNT = "count"
    PER_SECOND = "per second"
    RATIO = "ratio"
    SECONDS = "seconds"
    SHARE = "share"


Bytes = Annotated[float, Unit.BYTES]
BytesPerSecond = Annotated[float, Unit.BYTES_PER_SECOND]
Cores = Annotated[float, Unit.CORES]
Count = Annotated[float, Unit.COUNT]
PerSecond = Annotated[float, Unit.PER_SECOND]
Ratio = Annotated[float, Unit.RATIO]  # ratio of two amounts; may exceed 1
Seconds = Annotated[float, Unit.SECONDS]
Share = Annotated[float, Unit.SHARE]  # fraction of a total, or of a limit that may be exceeded


class Metrics(BaseModel):
    """The metrics of a sample. A field with the default None is omitted if the sample can't measure it."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    _names: tuple[str, ...] = PrivateAttr(default=())

    def __init__(self, **values: float | None) -> None:
        super().__init__(**values)
        self._names = tuple(values)

    @classmethod
    def descriptions(cls) -> dict[str, str]:
        """Return the description of each metric by name, in the order of declaration."""
        return {name: field.description or "" for name, field in cls.model_fields.items()}

    def values(self) -> dict[str, float]:
        """Return the measured values by name, in the order of the constructor's arguments.

        Result files list the metrics in this order.
        """
        values = {name: getattr(self, name) for name in self._names}
        return {name: value for name, value in values.items() if value is not None}
