"""Guards against a configuration page whose values differ from the code."""

import copy
import json
import re
from typing import Any

import attrs
import pytest
import result

from bench import configuration_page
from jujubetiller import platform, schema, settings
from jujubetiller.command import _features
from jujubetiller.settings import _fields
from standins.mesh_site import documents as site_documents
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


def test_the_sections_of_the_mesh_are_on_the_page() -> None:
    """Guards against settings of the mesh that operators cannot find."""
    own = dict(configuration_page.list_sections())
    missing = {
        field.name
        for field in attrs.fields(settings.MeshSettings)
        if isinstance(field.type, type)
        and attrs.has(field.type)
        and field.name not in own
        and field.name not in dict(configuration_page.MESH_SECTIONS)
    }
    # The table of the platform's fields describes what these two are derived from.
    assert missing == {"store", "repeats"}
    rows = re.findall(
        r"^\| `.*$", configuration_page.render_mesh_tables(), re.MULTILINE
    )
    assert len(rows) == len(configuration_page.SOURCES)
    assert [row for row in rows if row.endswith("|  |") or row not in PAGE] == []


def test_the_named_ranges_of_the_mesh_are_checked() -> None:
    for _, shape in configuration_page.MESH_SECTIONS:
        for field in attrs.fields(shape):
            if _fields.BOUNDS not in field.metadata:
                continue
            lowest, highest = field.metadata[_fields.BOUNDS]
            for value in (lowest, highest):
                assert getattr(shape(**{field.name: value}), field.name) == value
            for value in (lowest - 1, highest + 1):
                with pytest.raises(schema.FieldError):
                    shape(**{field.name: value})


def test_every_named_source_in_the_file_is_read() -> None:
    """Guards against a page that names fields which the platform's file has not."""
    tables: dict[str, dict[str, str]] = {"bounds": {}, "limits": {}}
    samples = {"strict_revoke": "true", "memory_mb": "301", "max_fds": "301"}
    for source in configuration_page.SOURCES.values():
        table, _, name = source.strip("`").partition(".")
        if table in tables:
            is_time = name in ("revoke", "config_apply", "quota_window")
            tables[table][name] = samples.get(name, '"7s"' if is_time else "7")
    document = site_documents.SETTINGS
    for table, fields in tables.items():
        lines = [f"{name} = {value}" for name, value in fields.items()]
        if f"[{table}]" not in document:
            document += f"[{table}]\n"
        document = document.replace(f"[{table}]", "\n".join((f"[{table}]", *lines)))
    loaded = platform.load_settings(document.encode()).unwrap()
    for path, source in configuration_page.SOURCES.items():
        section, _, name = path.partition(".")
        if section != "features":
            section_settings = getattr(loaded, section)
            default = getattr(type(section_settings)(), name)
            assert getattr(section_settings, name) != default, source


def test_every_named_field_of_the_environment_variable_is_read() -> None:
    fields = {"admission": "cost", "placing": "room", "target_limit": "learned"}
    named = [
        source
        for path, source in configuration_page.SOURCES.items()
        if path.startswith("features.")
    ]
    variable = _features.FEATURES_VARIABLE
    assert named == [f"`{name}` in `{variable}`" for name in fields]
    assert variable in PAGE
    chosen = _features.read_features({variable: json.dumps(fields)}).unwrap()
    assert attrs.asdict(chosen) == fields


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
