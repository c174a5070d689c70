"""Paths of the capacity page and its sources, relative to the root of the repository."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
CAPACITY_PAGE = Path("docs/CAPACITY.md")
CAPACITY_TABLE = Path("scale_experiments/capacity.toml")
RESULTS_FOLDER = Path("scale_experiments/results")
TARGET_FILE = Path("scale_experiments/experiments/target.toml")
