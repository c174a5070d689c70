"""The stored results, which are files of the repository, and the fits of their metrics."""

from __future__ import annotations

from pathlib import Path

from scale_experiments.capacity.schema import MeasuredTerm
from scale_experiments.fitting.forms import Fit
from scale_experiments.fitting.observations import Observation, Size, at_largest_size, observations_of
from scale_experiments.fitting.selection import best_fit, fit_form
from scale_experiments.runs.results import Result, load_result

BASELINE_SUFFIX = ".before"  # precedes .json in the file name of a baseline


class NotMeasuredError(Exception):
    """A result that an entry requires is not kept, or has no sample of the metric; the message names it."""


class StoredResults:
    """The results in a folder; each is loaded once, and each term is fitted once.

    A result may have a baseline: a result from before a mechanism was built. With `baseline`, the baseline is
    used in place of the result wherever there is one.
    """

    def __init__(self, folder: Path, baseline: bool) -> None:
        """Use the results in a folder; each is read when it is first needed."""
        self.folder = folder
        self.baseline = baseline
        # results that were loaded, by file name
        self.loaded: dict[str, Result] = {}
        self._fits: dict[str, Fit] = {}

    def path(self, name: str) -> Path:
        """Return the file of a result; raises NotMeasuredError if there is none."""
        candidates = (f"{name}.json", f"{name}{BASELINE_SUFFIX}.json")
        existing = [file for file in candidates if (self.folder / file).exists()]
        if not existing:
            raise NotMeasuredError(name)
        return self.folder / existing[-1 if self.baseline else 0]

    def is_only_baseline(self, name: str) -> bool:
        """Return whether the baseline is used because the later result is not kept."""
        return not self.baseline and self.path(name).stem.endswith(BASELINE_SUFFIX)

    def load(self, name: str) -> Result:
        """Return a stored result.

        Raises: NotMeasuredError if there is none, InputError if it can't be used.
        """
        path = self.path(name)
        if path.name not in self.loaded:
            self.loaded[path.name] = load_result(path)
        return self.loaded[path.name]

    def observations(self, term: MeasuredTerm) -> list[Observation]:
        """Return the observations to which a term is fitted; raises NotMeasuredError if there are none."""
        observations = [
            observation
            for observation in observations_of(self.load(term.result), term.metric)
            if _is_fitted(observation.size, term)
        ]
        if not observations:
            raise NotMeasuredError(f"{term.metric} of {term.result}")
        return at_largest_size(observations) if term.at_largest_size else observations

    def fit(self, term: MeasuredTerm) -> Fit:
        """Return the fit of a term.

        Raises: NotMeasuredError without observations, FitError if the form can't be fitted.
        """
        key = term.model_dump_json(exclude={"column_formulas"})
        if key not in self._fits:
            observations = self.observations(term)
            if term.form is None:
                self._fits[key] = best_fit(term.metric, observations)
            else:
                self._fits[key] = fit_form(term.metric, term.form, observations, term.columns)
        return self._fits[key]


def _is_fitted(size: Size, term: MeasuredTerm) -> bool:
    return (
        all(size.get(column, 0) >= smallest for column, smallest in term.min_sizes.items())
        and all(size.get(column, 0) <= largest for column, largest in term.max_sizes.items())
        and all(size.get(column) == x for column, x in term.only_sizes.items())
    )
