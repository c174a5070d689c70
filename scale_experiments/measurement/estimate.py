"""A value with its standard error."""

from __future__ import annotations

from dataclasses import dataclass

# fraction of a value: smaller standard errors are rounding errors, which differ between machines
ROUNDING_TOLERANCE = 1e-9


@dataclass(slots=True, frozen=True)
class Estimate:
    """A value and its standard error, both in the same unit."""

    value: float
    standard_error: float = 0.0

    @property
    def has_error(self) -> bool:
        """Whether the standard error exceeds the error that rounding alone causes."""
        return self.standard_error > ROUNDING_TOLERANCE * abs(self.value)

    def scaled(self, divisor: float) -> Estimate:
        """Return the estimate and its standard error in a unit that is `divisor` times as large."""
        return Estimate(self.value / divisor, self.standard_error / divisor)
