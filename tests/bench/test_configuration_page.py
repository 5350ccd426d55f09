"""Guards against a configuration page whose values differ from the code."""

import copy
import json
import re
from typing import Any

import attrs
import pytest
import result

from bench import configuration_page
from jujubetiller import settings
from jujubetiller.settings import _fields
from tests.settings import documents

PAGE = configuration_page.PAGE.read_text()

BOUNDED = [
    (section, field)
    for section, shape in configuration_page.list_sections()
    for field in attrs.fields(shape)
    if _fields.BOUNDS in field.metadata
]


def test_the_page_holds_the_generated_tables() -> None:
    assert configuration_page.replace_tables(PAGE) == PAGE, (
        "run python -m bench.configuration_page"
    )


def test_every_field_has_a_meaning() -> None:
    rows = re.findall(r"^\| `.*$", configuration_page.render_tables(), re.MULTILINE)
    assert [row for row in rows if row.endswith("|  |")] == []


def test_the_example_of_the_page_is_valid() -> None:
    example = re.findall(r"```json\n(.*?)```", PAGE, re.DOTALL)
    assert all(isinstance(settings.load_settings(text), result.Ok) for text in example)


@pytest.mark.parametrize(
    ("section", "field"),
    BOUNDED,
    ids=lambda value: value if isinstance(value, str) else value.name,
)
def test_the_named_range_is_the_range_that_is_checked(section: str, field: Any) -> None:
    lowest, highest = field.metadata[_fields.BOUNDS]
    for value, accepted in (
        (lowest, True),
        (highest, True),
        (lowest - 1, False),
        (highest + 1, False),
    ):
        document = copy.deepcopy(documents.VALID)
        document.setdefault(section, {})[field.name] = value
        loaded = settings.load_settings(json.dumps(document))
        assert isinstance(loaded, result.Ok) is accepted, value
