"""The deploy file: the files that it names, and its `build` command after an interrupted or older build."""

from __future__ import annotations

import importlib.util
import os
import subprocess
import tomllib
from pathlib import Path

import pytest

ROOT = Path(__file__).parents[2]
DEPLOY = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())

# Fake `python3 -m venv`, and fake pip for the environment that it creates, so that nothing is downloaded
FAKE_PYTHON = """#!/bin/sh
rm -rf .venv && mkdir -p .venv/bin && cp "$0.pip" .venv/bin/pip && chmod +x .venv/bin/pip
"""
FAKE_PIP = """#!/bin/sh
test ! -e broken && cp requirements.txt .venv/packages
"""


class Checkout:
    """A checkout with its requirements, and fake tools that record which packages were installed."""

    def __init__(self, root: Path) -> None:
        """Create the fake tools, and a requirements file with one package."""
        self.root = root
        self.tools = root / "tools"
        self.tools.mkdir()
        (self.tools / "python3").write_text(FAKE_PYTHON)
        (self.tools / "python3").chmod(0o755)
        (self.tools / "python3.pip").write_text(FAKE_PIP)
        self.write_requirements("one==1\n")

    def write_requirements(self, text: str) -> None:
        """Write requirements.txt."""
        (self.root / "requirements.txt").write_text(text)

    def build(self) -> int:
        """Run the build command and return its exit status."""
        path = f"{self.tools}{os.pathsep}{os.environ['PATH']}"
        return subprocess.run(
            ["/bin/sh", "-c", DEPLOY["build"]], cwd=self.root, env={"PATH": path}, check=False
        ).returncode

    def installed_requirements(self) -> str:
        """Return the requirements from which the environment was created."""
        return (self.root / ".venv" / "packages").read_text()


@pytest.fixture
def checkout(tmp_path: Path) -> Checkout:
    """An empty checkout."""
    return Checkout(tmp_path)


def test_interrupted_build_is_repeated(checkout: Checkout) -> None:
    """If its environment passed for a complete one, no router would start after later builds either."""
    (checkout.root / "broken").touch()
    assert checkout.build() != 0
    (checkout.root / "broken").unlink()
    assert checkout.build() == 0
    assert checkout.installed_requirements() == "one==1\n"


def test_incomplete_environment_of_another_build_is_replaced(checkout: Checkout) -> None:
    """An environment folder without packages must not pass for a complete environment."""
    (checkout.root / ".venv" / "bin").mkdir(parents=True)
    assert checkout.build() == 0
    assert checkout.installed_requirements() == "one==1\n"


def test_complete_build_is_kept_until_the_requirements_change(checkout: Checkout) -> None:
    """Installing at every build would delay the start; an outdated environment could prevent it."""
    assert checkout.build() == 0
    marker = checkout.root / ".venv" / "marker"
    marker.touch()
    assert checkout.build() == 0
    assert marker.exists()
    checkout.write_requirements("one==2\n")
    assert checkout.build() == 0
    assert checkout.installed_requirements() == "one==2\n"
    assert not marker.exists()


@pytest.mark.parametrize("part", ["policy", "node"])
def test_named_files_exist(part: str) -> None:
    """The files that the deploy file lists as parts of the program are in the repository."""
    assert DEPLOY[part]
    assert all((ROOT / name).exists() for name in DEPLOY[part])


@pytest.mark.parametrize("command", ["run", "sim"])
def test_started_modules_exist(command: str) -> None:
    """The modules that the deploy file's commands start can be found."""
    assert importlib.util.find_spec(DEPLOY[command].rpartition(" -m ")[2]) is not None


def test_run_replaces_its_shell() -> None:
    """A shell that remained as the parent process would receive SIGTERM instead of the router."""
    assert DEPLOY["run"].startswith("exec ")
    assert not set("&|;") & set(DEPLOY["run"])
