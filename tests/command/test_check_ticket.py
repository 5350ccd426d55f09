"""Guards against tickets that the command accepts and nodes reject."""

import json
import pathlib
import re

import pytest

from jujubetiller import command

TICKET = {
    "number": 1207,
    "author": "operator-3",
    "objects": {
        "service/ledger": {"slots": 25},
        "request_kind/old-report": None,
    },
}


@pytest.mark.parametrize(
    ("changes", "status", "words"),
    [
        ({}, 0, ["ticket 1207", "sets service/ledger", "removes request_kind/old-r"]),
        ({"number": 0}, 1, ["[401 BAD_TICKET] number"]),
        ({"objects": {"service/ledger": {"slots": 0}}}, 1, ["ledger.slots"]),
        ({"objects": {"ledger": {}}}, 1, ["service/<name>"]),
    ],
)
def test_the_command_says_what_a_node_would_do(
    tmp_path: pathlib.Path,
    capsys: pytest.CaptureFixture[str],
    changes: dict[str, object],
    status: int,
    words: list[str],
) -> None:
    file = tmp_path / "ticket.json"
    file.write_text(json.dumps(TICKET | changes))
    assert command.run(["check-ticket", str(file)]) == status
    captured = capsys.readouterr()
    assert all(word in captured.out + captured.err for word in words)
    assert command.run(["check-ticket", str(tmp_path / "no-such-file")]) == 2


def test_the_example_of_the_operations_page_is_valid(tmp_path: pathlib.Path) -> None:
    page = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
    (example,) = re.findall(r"```json\n(.*?)```", page.read_text(), re.DOTALL)
    file = tmp_path / "ticket.json"
    file.write_text(example)
    assert command.run(["check-ticket", str(file)]) == 0
