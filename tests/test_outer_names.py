"""Names and texts that leave the process are still in the sources, letter for letter.

``golden/outer_names.txt`` lists them, one a line: fields and values of messages, stored keys and
fields, settings, flags, environment variables, texts of the administration API, and phrases of the
log lines that operators are told to alert on. Add what a change brings; a listed name goes only
together with the interface that uses it.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
OUTER_NAMES = Path(__file__).parent / "golden" / "outer_names.txt"


def outer_texts(source: str) -> Iterator[str]:
    """String literals that are not docstrings, and names of fields declared in classes."""
    tree = ast.parse(source)
    docstrings = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str):
            if id(node) not in docstrings:
                yield node.value
        elif isinstance(node, ast.ClassDef):
            for statement in node.body:
                if isinstance(statement, ast.AnnAssign) and isinstance(statement.target, ast.Name):
                    yield statement.target.id


def product_texts() -> str:
    """All such texts of the product, one a line."""
    paths = sorted((ROOT / "petrelthread").rglob("*.py"))
    sources = [path for path in paths if not path.name.startswith(("test_", "conftest"))]
    return "\n".join(text for path in sources for text in outer_texts(path.read_text("utf-8")))


def contains_name(texts: str, name: str) -> bool:
    """Whether the name occurs as a word of its own."""
    return re.search(rf"(?<!\w){re.escape(name)}(?!\w)", texts) is not None


def test_every_listed_name_is_in_the_sources() -> None:
    texts = product_texts()
    names = OUTER_NAMES.read_text("utf-8").splitlines()
    assert names == sorted(set(names))
    assert [name for name in names if not contains_name(texts, name)] == []


@pytest.mark.parametrize(
    ("source", "found"),
    [
        ("path = '/checkin'", True),
        ("class Message:\n    checkin: int", True),
        ("class Message:\n    '''The checkin.'''", False),
        ("def checkin(): return 'checkins'", False),
    ],
)
def test_docstrings_and_identifiers_do_not_count(source: str, found: bool) -> None:
    assert contains_name("\n".join(outer_texts(source)), "checkin") is found
