"""Real routers: the program built and started as `deploy/balancer.toml` says."""

from __future__ import annotations

import shutil
import tomllib
from pathlib import Path

from scale_experiments.context import ExperimentContext

ROOT = Path(__file__).parent.parent
ROUTER_SOURCES = ("cache_router", "deploy", "requirements.txt")
BUILD_TIMEOUT_S = 300.0


def build_router(context: ExperimentContext) -> tuple[Path, str]:
    """A copy of the program in the run's folder, built as deployed, and the command that runs it."""
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    folder = context.folder / "router"
    if not folder.exists():
        context.progress("build")
        folder.mkdir()
        for name in ROUTER_SOURCES:
            if (ROOT / name).is_dir():
                shutil.copytree(ROOT / name, folder / name, ignore=shutil.ignore_patterns("__pycache__"))
            else:
                shutil.copy(ROOT / name, folder / name)
        log = (folder / "build.log").open("wb")
        with log:
            process = context.spawn(["/bin/sh", "-c", deploy["build"]], cwd=folder, stdout=log, stderr=log)
            status = process.wait(min(BUILD_TIMEOUT_S, context.remaining_s()))
        if status:
            raise RuntimeError(f"build ended with {status}: {(folder / 'build.log').read_text()[-300:]}")
    return folder, deploy["run"]
