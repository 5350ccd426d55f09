"""The pages of faults and proofs must agree with the tests.

It guards against a page that names cells or tests that do not exist.
"""

import pathlib
import re

from tests.faults import matrix_page

ROOT = pathlib.Path(__file__).parents[2]


def test_the_page_of_faults_is_the_table() -> None:
    """The page is what ``python -m tests.faults.matrix_page`` prints."""
    assert (ROOT / "docs/faults.md").read_text() == matrix_page.render()


def test_every_named_test_exists() -> None:
    """Each ``path::function`` of the proofs exists, and each promise is listed."""
    page = (ROOT / "docs/proofs.md").read_text()
    for path, name in re.findall(r"`(tests/[\w/]+\.py)::(\w+)`", page):
        assert f"def {name}(" in (ROOT / path).read_text(), f"{path}::{name}"
    for number in range(1, 10):
        assert f"\n| P{number} " in page
    cases = (ROOT / "tests/faults/test_checkers.py").read_text()
    for mentioned in re.findall(r"test_checker_reports` \(([\w, ]+)\)", page):
        for name in mentioned.split(", "):
            assert f"def {name}(" in cases, name
    processes = (ROOT / "tests/faults/test_processes.py").read_text()
    for name in matrix_page.PROCESS_TESTS.values():
        assert f"def {name}(" in processes, name
