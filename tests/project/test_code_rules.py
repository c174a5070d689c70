"""Size limits of the sources, rules for the decision modules, and the example in the README."""

import ast
import re
import tomllib
from pathlib import Path

import pytest

from cache_router.decisions.actions import Send

ROOT = Path(__file__).parents[2]
DECISION_SOURCES = {
    name: (ROOT / name).read_text()
    for name in tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["policy"]
}
# Modules with the input and output types of the decisions, to which the same rules apply
TYPE_MODULES = (
    "cache_router/decisions/actions.py",
    "cache_router/decisions/events.py",
    "cache_router/endpoint.py",
    "cache_router/errors.py",
    "cache_router/settings.py",
)
# Limits in lines that are not blank; the limit of a module keeps it to one concern
MAX_FUNCTION_LINES = 40
MAX_CLASS_LINES = 200
MAX_MODULE_LINES = 280
MAX_LINE_LENGTH = 110  # characters
DEPLOYMENT_WORDS = (
    "lessons mechelen hobart timetable booking slot- grid prize hint-spend quote amend shannonside "
    "lee-valley kruiswoord puzzelkrant mots junior dublin cork hall- launceston devonport gen- fast- mid- "
    "slow- blade tower arrieta overeni bsas podpisu norte bilbao santander oviedo vitoria praha brno ostrava "
    "barracas invite guest-list reply-status send-batch status-lookup token-lookup audience send-push box "
    "lento bodas fiestas eventos podpis certa moravia datovy pecet overto sigma kotva tienda club farmacia "
    "delivery banco radio gym"
)


def line_count(text: str) -> int:
    """Return the number of lines that are not blank."""
    return sum(bool(line.strip()) for line in text.splitlines())


@pytest.mark.parametrize("package", ["cache_router", "scale_experiments", "tests"])
def test_modules_classes_and_functions_stay_small(package: str) -> None:
    for path in (ROOT / package).rglob("*.py"):
        name, text = path.relative_to(ROOT), path.read_text()
        assert line_count(text) <= MAX_MODULE_LINES, name
        assert max(map(len, text.splitlines()), default=0) <= MAX_LINE_LENGTH, name
        for node in ast.walk(ast.parse(text)):
            if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef | ast.ClassDef):
                lines = line_count(ast.get_source_segment(text, node) or "")
                bound = MAX_CLASS_LINES if isinstance(node, ast.ClassDef) else MAX_FUNCTION_LINES
                assert lines <= bound, f"{name}: {node.name}"


def test_every_decision_module_is_listed_in_the_deploy_file() -> None:
    folder = ROOT / "cache_router" / "decisions"
    modules = {str(path.relative_to(ROOT)) for path in folder.glob("*.py") if path.name != "__init__.py"}
    assert set(DECISION_SOURCES) | set(TYPE_MODULES) >= modules


def test_decisions_name_no_deployment() -> None:
    for text in DECISION_SOURCES.values():
        assert not [w for w in DEPLOYMENT_WORDS.split() if re.search(rf"\b{w}", text, re.IGNORECASE)]


def test_decisions_read_no_clock_and_do_no_io() -> None:
    allowed = {
        "__future__",
        "hashlib",
        "heapq",
        "math",
        "random",
        "struct",
        "bisect",
        "dataclasses",
        "itertools",
        "typing",
        "collections.abc",
        "enum",
        "cache_router",
        "cache_router.decisions",
    }
    assert "cache_router/decisions/router.py" in DECISION_SOURCES
    sources = DECISION_SOURCES | {name: (ROOT / name).read_text() for name in TYPE_MODULES}
    allowed |= {name.removesuffix(".py").replace("/", ".") for name in sources}
    for text in sources.values():
        assert set(re.findall(r"^(?:import|from) (\S+)", text, re.MULTILINE)) <= allowed
    assert "`events`" in DECISION_SOURCES["cache_router/decisions/router.py"].split('"""')[1]


def test_readme_example_runs() -> None:
    code = re.search(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.DOTALL)
    assert code is not None
    names: dict[str, object] = {}
    exec(code.group(1), names)  # noqa: S102 - the example from the README
    send = next(a for a in names["actions"] if isinstance(a, Send))  # type: ignore[attr-defined]
    assert send.request_id == "r1"
    assert send.server in ("cache-1", "cache-2")
