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
    """A form can't be fitted to the observations; the message names the metric and what is missing."""


class Form(Enum):
    """How a metric depends on the columns of a size. The values are keys of capacity.toml."""

    CONSTANT = "constant"  # a
    LINEAR = "linear"  # a + the sum of b x over the columns x
    PRODUCT = "product"  # a + b times the product of the columns
    POWER = "power"  # a times the product of x ** b; fitted to the logarithms
    INTERPOLATED = "between"  # between neighbouring sizes along one column; only if capacity.toml asks for it


@dataclass(slots=True, frozen=True, kw_only=True)
class Fit(ABC):
    """One form fitted to one metric."""

    metric: str
    form: Form
    columns: tuple[str, ...]
    # root of the sum of squared residuals per degree of freedom, in the metric's unit
    residual: float
    # root mean square error at sizes left out of the fit, as a share of the mean at them; NaN if that is
    # impossible
    cross_validation_error: float
    size_count: int
    # the largest measured value of each column of the fit
    largest: dict[str, float]
    # the columns that did not vary, with their values
    fixed: dict[str, float]

    @property
    @abstractmethod
    def slopes(self) -> dict[str, Estimate]:
        """The slope of each term, or its exponent where the form is a power."""

    @abstractmethod
    def predict(self, size: Size) -> Estimate:
        """The fitted value at a size, in the metric's unit."""

    @abstractmethod
    def describe(self) -> str:
        """The slopes with their standard errors, in words."""

    def extrapolation_factor(self, size: Size) -> float:
        """The largest ratio, over the columns, of a size to the largest measured one; 1 without columns."""
        ratios = (size[c] / self.largest[c] for c in self.columns if self.largest[c] > 0)
        return max(ratios, default=1.0)
