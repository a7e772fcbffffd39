"""CI deselects exactly the tests that KNOWN-RED.txt lists, provided that each of them fails."""

from __future__ import annotations

import importlib.util
import sys
from pathlib import Path
from types import ModuleType

import pytest

ROOT = Path(__file__).parent.parent
FAILING_TEST = "def test_it():\n    assert False\n"
PASSING_TEST = "def test_it():\n    assert True\n"


@pytest.fixture(name="known_red")
def load_known_red() -> ModuleType:
    spec = importlib.util.spec_from_file_location("known_red", ROOT / ".ci" / "known_red.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    sys.modules["known_red"] = module
    spec.loader.exec_module(module)
    return module


@pytest.mark.parametrize(("source", "code"), [(FAILING_TEST, 0), (PASSING_TEST, 1), ("", 1)])
def test_listed_test_must_exist_and_fail(
    known_red: ModuleType,
    tmp_path: Path,
    source: str,
    code: int,
    capsys: pytest.CaptureFixture[str],
) -> None:
    test = tmp_path / "test_one.py"
    test.write_text(source)
    list_path = tmp_path / "KNOWN-RED.txt"
    list_path.write_text(f"{test}::test_it | pytest, seed 7 | seen, with commas | issue 1\n")
    assert known_red.main(list_path) == code
    out, err = capsys.readouterr()
    assert "known red" in err
    assert out == (f"--deselect={test}::test_it\n" if code == 0 else "")


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("a.py::t | pytest | seen | issue 1\n" * 4, id="four entries"),
        pytest.param("a.py::t\n", id="a single field"),
        pytest.param("a.py | pytest | seen | issue 1\n", id="a file instead of a test"),
        pytest.param("a.py::t | pytest | seen\n", id="three fields"),
        pytest.param("a.py::t | pytest || issue 1\n", id="an empty field"),
        pytest.param("a.py::t, a cause, issue 1\n", id="commas as separators"),
    ],
)
def test_fourth_entry_or_malformed_line_is_refused(
    known_red: ModuleType, tmp_path: Path, text: str
) -> None:
    list_path = tmp_path / "KNOWN-RED.txt"
    list_path.write_text(text)
    assert known_red.main(list_path) == 1


def test_missing_list_is_valid(known_red: ModuleType, tmp_path: Path) -> None:
    assert known_red.main(tmp_path / "KNOWN-RED.txt") == 0
