"""Files of the capacity page, relative to the root of the repository."""

from __future__ import annotations

from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
PAGE = Path("docs/CAPACITY.md")
LINES = Path("scale_experiments/capacity.toml")
RESULTS = Path("scale_experiments/results")
TARGET = Path("scale_experiments/experiments/target.toml")
