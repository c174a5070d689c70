"""Tests of the fits, of the breaking points of demands, and of the capacity page."""

from __future__ import annotations

import json
import random
import re
import shutil
from pathlib import Path

import pytest

from scale_experiments.capacity.comparison_table import ComparedMeans
from scale_experiments.capacity.formatting import format_progress
from scale_experiments.capacity.growth_path import FleetPoint, FleetSize, GrowthPath
from scale_experiments.capacity.markers import replace_tables
from scale_experiments.capacity.model import CapacityModel
from scale_experiments.capacity.paths import CAPACITY_PAGE, CAPACITY_TABLE, RESULTS_FOLDER, ROOT, TARGET_FILE
from scale_experiments.capacity.provenance import describe_basis
from scale_experiments.capacity.reader import read_capacity
from scale_experiments.capacity.schema import CapacityTable
from scale_experiments.capacity.stored_results import NotMeasuredError
from scale_experiments.commands import fit, report
from scale_experiments.fitting.forms import FitError, Form
from scale_experiments.fitting.observations import Observation, observations_of
from scale_experiments.fitting.selection import best_fit, fit_form
from scale_experiments.runs.input_files import InputError
from scale_experiments.runs.results import load_result
from scale_experiments.target import load_target


def write_linear_result(path: Path, slope: float, noise: float = 0.0, max_caches: int = 800) -> Path:
    """Write a result whose `cost_s` is 0.5 + slope * caches, with Gaussian noise."""
    generator = random.Random(1)
    samples = [
        {
            "size": {"routers": 1, "caches": caches},
            "seed": repeat,
            "repeat": repeat,
            "metrics": {"cost_s": 0.5 + slope * caches + generator.gauss(0, noise), "same_count": 7.0},
            "histograms": {},
        }
        for caches in range(max_caches // 8, max_caches + 1, max_caches // 8)
        for repeat in range(25)
    ]
    path.write_text(
        json.dumps(
            {
                "experiment": path.stem,
                "kind": "list_change",
                "seed": 1,
                "started": "2026-01-01T00:00:00+00:00",
                "complete": True,
                "versions": {"python": "3.11", "project": "none", "packages": {}},
                "parameters": {},
                "metrics": {"cost_s": "seconds", "same_count": "always the same"},
                "budgets": [],
                "samples": samples,
            }
        )
    )
    return path


def test_a_fit_finds_the_slope_its_error_and_the_form(tmp_path: Path) -> None:
    result = load_result(write_linear_result(tmp_path / "cost.json", 0.002, noise=0.05))
    best = best_fit("cost_s", observations_of(result, "cost_s"))
    assert best.form is Form.LINEAR
    slope = best.slopes["caches"]
    # standard error of a slope: the noise over the root of the sum of squares about the mean size
    expected = 0.05 / (25 * sum((100.0 * i - 450.0) ** 2 for i in range(1, 9))) ** 0.5
    assert slope.standard_error == pytest.approx(expected, rel=0.15)
    assert abs(slope.value - 0.002) < 3 * slope.standard_error
    value = best.predict({"caches": 1600.0})
    assert abs(value.value - 3.7) < 3 * value.standard_error
    assert best.residual == pytest.approx(0.05, rel=0.15)
    assert best.extrapolation_factor({"caches": 1600.0}) == 2.0
    assert best_fit("same_count", observations_of(result, "same_count")).form is Form.CONSTANT


def test_a_fit_distinguishes_a_power_and_a_product_from_a_line() -> None:
    grid = [{"routers": r, "caches": c} for r in (10.0, 20.0, 40.0) for c in (5.0, 10.0, 20.0)]
    power = best_fit("x", [Observation(s, 3 * s["routers"] ** 1.5 * s["caches"] ** -0.5) for s in grid])
    assert power.form is Form.POWER
    assert [slope.value for slope in power.slopes.values()] == pytest.approx([-0.5, 1.5])  # caches, routers
    product = best_fit("x", [Observation(s, 2 + 0.1 * s["routers"] * s["caches"]) for s in grid])
    assert product.form is Form.PRODUCT
    assert product.predict({"routers": 100.0, "caches": 100.0}).value == pytest.approx(1002)


def test_a_fit_interpolates_along_one_column_and_beyond_its_end() -> None:
    observations = [Observation({"routers": x}, 2 * x**0.5) for x in (10.0, 40.0, 160.0)]
    interpolated = fit_form("x", Form.INTERPOLATED, observations)
    assert interpolated.predict({"routers": 20.0}).value == pytest.approx(2 * 20**0.5)
    assert interpolated.predict({"routers": 640.0}).value == pytest.approx(2 * 640**0.5)
    assert interpolated.slopes["routers"].value == pytest.approx(0.5)
    assert interpolated.cross_validation_error == pytest.approx(0.0, abs=1e-12)
    assert interpolated.describe() == "between sizes, at the largest exponent 0.5 over routers"
    with pytest.raises(FitError, match="3 sizes of routers"):
        fit_form("x", Form.INTERPOLATED, observations[:2])


def test_collinear_columns_are_rejected() -> None:
    observations = [Observation({"routers": x, "caches": 3 * x}, x) for x in (1.0, 2.0, 3.0, 4.0)]
    with pytest.raises(FitError, match="must not be collinear"):
        fit_form("x", Form.LINEAR, observations)


def test_a_bad_result_exits_with_2_and_one_line_that_names_file_and_field(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    path = write_linear_result(tmp_path / "cost.json", 0.002)
    table = json.loads(path.read_text())
    table["samples"][3]["metrics"]["cost_s"] = "much"
    path.write_text(json.dumps(table))
    assert fit.main([path]) == 2
    message = capsys.readouterr().err
    assert message.count("\n") == 1
    assert "cost.json" in message
    assert "samples[3].metrics.cost_s" in message


ENTRIES = """
roles = [{ name = "router", title = "Router" }]
events = []
failures = []
figures = [{ name = "allowed", value = 20, kind = "assumed", unit = "count", source = "made up" }]

[[lines]]
role = "router"
what = "cost"
kind = "time"
unit = "s"
value = "cost"
budget = 1.34
mechanism = "missing"
measured.cost = { result = "cost", metric = "cost_s" }

[[lines]]
role = "router"
what = "peers"
kind = "messages"
unit = "count"
value = "routers / caches"
budget = "allowed"
mechanism = "cache_router.decisions.router:Router.handle"

[[lines]]
role = "router"
what = "else"
kind = "time"
unit = "s"
value = "cost"
budget = 1
mechanism = "missing"
measured.cost = { result = "never", metric = "cost_s" }
"""


def read_entries(tmp_path: Path) -> CapacityTable:
    path = tmp_path / "capacity.toml"
    path.write_text(ENTRIES)
    return read_capacity(path)


def test_the_breaking_point_is_where_a_demand_first_exceeds_its_budget(tmp_path: Path) -> None:
    write_linear_result(tmp_path / "cost.json", 0.002, max_caches=400)
    model = CapacityModel(read_entries(tmp_path), load_target(), tmp_path)
    path = model.growth_path
    cost, peers, missing = model.table.demands
    # 0.5 + 0.002 x caches is 1.34 at 420 caches, after 220 of the 640 that the path adds to today's 200
    assert model.breaking_point(cost) == pytest.approx(220 / 640)
    assert format_progress(path, model.breaking_point(cost)) == "2,572 / 420"
    assert describe_basis(model, cost) == "extrapolated by a factor of 2.1"
    # routers per cache are 7,100 / 840 = 8.5 at the target, and always below 6,900 / 640 = 10.8
    assert model.breaking_point(peers) is None
    assert describe_basis(model, peers) == "given"
    assert model.utilization(peers, path.at_target()) == pytest.approx(7100 / 840 / 20)
    with pytest.raises(NotMeasuredError):
        model.breaking_point(missing)


def test_the_growth_path_joins_todays_fleet_and_the_target() -> None:
    path = GrowthPath(today=FleetSize(200, 100), target=FleetSize(1000, 300))
    assert path.at_today() == FleetPoint(0.0, FleetSize(200, 100))
    assert path.at(0.25) == FleetPoint(0.25, FleetSize(400, 150))
    assert path.at_target() == FleetPoint(1.0, FleetSize(1000, 300))
    assert path.with_headroom() == FleetPoint(1.5, FleetSize(1500, 450))


def test_a_point_of_the_growth_path_has_the_variables_of_formulas() -> None:
    point = FleetPoint(0.25, FleetSize(routers=400, caches=150))
    assert [point.variable(name) for name in ("t", "routers", "caches", "zones")] == [0.25, 400, 150, None]


def test_compared_means_are_corrected_by_the_reference() -> None:
    means = ComparedMeans(before=2.0, after=3.0)
    assert means.ratio == 1.5
    assert means.ratio_by_reference(ComparedMeans(before=1.0, after=2.0)) == 0.75
    assert means.ratio_by_reference(None) is None
    from_zero = ComparedMeans(before=0.0, after=3.0)
    assert from_zero.ratio is None
    assert from_zero.ratio_by_reference(means) is None


def copy_page_and_sources(tmp_path: Path) -> Path:
    for part in (CAPACITY_TABLE, CAPACITY_PAGE, TARGET_FILE):
        (tmp_path / part).parent.mkdir(parents=True, exist_ok=True)
        shutil.copy(ROOT / part, tmp_path / part)
    shutil.copytree(ROOT / RESULTS_FOLDER, tmp_path / RESULTS_FOLDER)
    return tmp_path


def test_the_page_matches_the_stored_results(capsys: pytest.CaptureFixture[str]) -> None:
    assert report.main(check=True) == 0, capsys.readouterr().err


def test_a_page_that_differs_fails_the_check_and_is_regenerated(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    root = copy_page_and_sources(tmp_path)
    page = root / CAPACITY_PAGE
    original = page.read_text()
    lines = original.splitlines()
    index = next(i for i, line in enumerate(lines) if line.startswith("| 1 |"))
    lines[index] += " altered"
    page.write_text("\n".join(lines) + "\n")
    assert report.main(check=True, root=root) == 1
    assert f"docs/CAPACITY.md:{index + 1}:" in capsys.readouterr().err
    assert report.main(check=False, root=root) == 0
    assert page.read_text() == original


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('kind = "given"', 'kind = "guessed"', "figures[0].kind: "),
        ('target = "', 'aim = "', "figures[0].aim: "),
        ('target = "target.requests_per_s"', 'target = "target.sites.0"', "figures.target_requests_per_s: "),
        ('name = "objects"', 'name = "objets"', "figures: 'objets' must be used by a formula"),
        ('mechanism = "cache_router', 'mechanism = "cache_rooter', "lines[0].mechanism: must be module:name"),
        (
            '[[lines]]\nrole = "router"',
            '[[lines]]\nrole = "rooter"',
            "lines[0].role: must be one of router, ",
        ),
        ("value = ", 'value = "1 +" # ', ".value: must be an arithmetic expression"),
        ("measured.change = ", "measured.changes = ", "lines[0]: 'change' must be a figure, a term "),
        ('[[lines]]\nrole = "router"', '[[lines]]\nvalues = 1\nrole = "router"', "lines[0].values: "),
    ],
)
def test_a_bad_capacity_table_exits_with_2_and_names_the_field(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], old: str, new: str, expected: str
) -> None:
    root = copy_page_and_sources(tmp_path)
    table = root / CAPACITY_TABLE
    good = table.read_text()
    assert old in good
    table.write_text(good.replace(old, new, 1))
    assert report.main(check=True, root=root) == 2
    message = capsys.readouterr().err
    assert message.count("\n") == 1
    assert "capacity.toml: " in message
    assert expected in message


@pytest.mark.parametrize(
    ("page", "expected"),
    [
        ("<!-- table: a -->\n<!-- end -->", "page.md: must have <!-- table: b -->"),
        (
            "<!-- table: a -->\n<!-- end -->\n<!-- table: c -->\n<!-- end -->",
            "page.md:3: table 'c' is not known",
        ),
        (
            "<!-- table: a -->\n<!-- end -->\n<!-- table: a -->\n<!-- end -->",
            "page.md:3: table 'a' must start once",
        ),
        (
            "<!-- table: a -->\n<!-- table: b -->\n<!-- end -->",
            "page.md:2: table 'b' must start after the end",
        ),
        ("<!-- table: a -->\n<!-- end -->\n<!-- table: b -->", "page.md: table 'b' must end"),
        ("text\n<!-- end -->", "page.md:2: <!-- end --> must follow"),
    ],
)
def test_bad_markers_are_named_by_page_and_line(page: str, expected: str) -> None:
    with pytest.raises(InputError, match=re.escape(expected)):
        replace_tables(page, {"a": ["1"], "b": ["2"]}, "page.md")


def test_tables_are_replaced_between_their_markers_only() -> None:
    page = "head\n<!-- table: a -->\nold\n<!-- end -->\nmiddle\n<!-- table: b -->\n<!-- end -->\n"
    expected = page.replace("old", "new").replace("<!-- table: b -->\n", "<!-- table: b -->\n1\n2\n")
    assert replace_tables(page, {"a": ["new"], "b": ["1", "2"]}, "page.md") == expected
