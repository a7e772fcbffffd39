"""Packages import only packages listed above them in the table of docs/architecture.md."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).parent.parent
PACKAGES = ROOT / "petrelthread"
TABLE_ROW = re.compile(r"^\| (`\w+`(?:, `\w+`)*) \|", re.MULTILINE)
# Modules that import no package.
UNRANKED = {"background_tasks", "interner", "pause_detector", "step_timer"}
TOOLS_STARTED_BY_CLI = {"emulator", "benchmark"}


def listed_packages() -> list[str]:
    """The packages in the order of the table in docs/architecture.md."""
    page = (ROOT / "docs" / "architecture.md").read_text(encoding="utf-8")
    table = page.split("## Packages")[1].split("## Who owns")[0]
    return [name for row in TABLE_ROW.findall(table) for name in re.findall(r"\w+", row)]


def imported_packages(package: str) -> Iterator[str]:
    """The packages that a package's modules import; its test modules are ignored."""
    for path in sorted((PACKAGES / package).rglob("*.py")):
        if path.name.startswith("test_"):
            continue
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.ImportFrom) and node.module is not None:
                modules = [f"{node.module}.{alias.name}" for alias in node.names]
            elif isinstance(node, ast.Import):
                modules = [alias.name for alias in node.names]
            else:
                continue
            for module in modules:
                if module.startswith("petrelthread.") and not module.endswith(".__version__"):
                    yield module.split(".")[1]


def test_every_package_is_listed_in_the_architecture_table() -> None:
    found = {path.name for path in PACKAGES.iterdir() if (path / "__init__.py").exists()}
    assert found == set(listed_packages())


def test_packages_import_only_packages_listed_above_them() -> None:
    listed = listed_packages()
    for rank, package in enumerate(listed):
        allowed = {*listed[: rank + 1], *UNRANKED}
        if package == "cli":
            allowed |= TOOLS_STARTED_BY_CLI
        assert set(imported_packages(package)) <= allowed, package
