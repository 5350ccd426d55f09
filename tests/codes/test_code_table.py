"""Guards against result codes that the table or the docs do not describe."""

import pathlib

from jujubetiller import codes

DOCUMENT = pathlib.Path(__file__).parents[2] / "docs" / "result-codes.md"


def test_every_code_has_an_entry() -> None:
    assert set(codes.CODE_TABLE) == set(codes.ResultCode)


def test_the_range_of_a_number_determines_the_outcome() -> None:
    outcome_by_range = {
        0: codes.Outcome.ANSWERED,
        1: codes.Outcome.NOT_RUN,
        2: codes.Outcome.NOT_RUN,
        3: codes.Outcome.UNKNOWN,
        4: codes.Outcome.NOT_RUN,
    }
    for code, entry in codes.CODE_TABLE.items():
        assert entry.outcome is outcome_by_range[code.value // 100], code.name


def test_the_document_holds_the_generated_table() -> None:
    assert codes.render_markdown() in DOCUMENT.read_text()
