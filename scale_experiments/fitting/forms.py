"""The forms that are fitted to metrics, and the base class of fits."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

import numpy as np
import numpy.typing as npt

from scale_experiments.fitting.observations import Size
from scale_experiments.measurement.estimate import Estimate

Array = npt.NDArray[np.float64]


class FitError(ValueError):
    """A form can't be fitted to the observations; the message names the metric and the requirement."""


class Form(Enum):
    """The form in which a metric depends on the columns of a size. The values are those of capacity.toml."""

    CONSTANT = "constant"  # a
    LINEAR = "linear"  # a plus the sum of b * x over the columns x
    PRODUCT = "product"  # a + b times the product of the columns
    POWER = "power"  # a times the product of x ** b over the columns x; fitted to the logarithms
    INTERPOLATED = "between"  # between neighbouring sizes along one column; only if capacity.toml asks for it


@dataclass(slots=True, frozen=True, kw_only=True)
class Fit(ABC):
    """One form fitted to one metric."""

    metric: str
    form: Form
    columns: tuple[str, ...]
    # residual standard error in the metric's unit: root of the sum of squared residuals per degree of freedom
    residual: float
    # root mean square error at sizes left out of the fit, as a share of the mean at them; NaN if no size can
    # be left out
    cross_validation_error: float
    size_count: int
    # largest measured value of each column of the fit
    largest: dict[str, float]
    # columns that did not vary, with their values
    fixed: dict[str, float]

    @property
    @abstractmethod
    def slopes(self) -> dict[str, Estimate]:
        """The slope of each term by name; its exponent if the form is a power or interpolated."""

    @abstractmethod
    def predict(self, size: Size) -> Estimate:
        """Return the fitted value at a size, in the metric's unit."""

    @abstractmethod
    def describe(self) -> str:
        """Describe the slopes and their standard errors."""

    def extrapolation_factor(self, size: Size) -> float:
        """Return the largest ratio of a column to its largest measured value; 1 without columns."""
        ratios = (size[c] / self.largest[c] for c in self.columns if self.largest[c] > 0)
        return max(ratios, default=1.0)
