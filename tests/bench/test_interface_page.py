"""Guards against an interface page with removed headers, codes or settings."""

import pathlib
import re

import attrs

from jujubetiller import codes, edge, settings

PAGE = (pathlib.Path(__file__).parents[2] / "docs" / "interface.md").read_text()
SECTIONS = {
    field.name: attrs.fields_dict(field.type)
    for field in attrs.fields(attrs.resolve_types(settings.NodeSettings))
    if field.type is not None and attrs.has(field.type)
}


def test_every_header_is_on_the_page_and_no_other() -> None:
    exported = {
        getattr(edge, name) for name in edge.__all__ if name.endswith("_HEADER")
    }
    assert set(re.findall(r"jujubetiller-[a-z-]*[a-z]", PAGE.lower())) == exported


def test_settings_on_the_page_exist_with_the_defaults_given() -> None:
    named = re.findall(r"`([a-z]+)\.([a-z_]+)`(?: \(([\d,]+)(?: s)?\))?", PAGE)
    assert len(named) > 5
    for section, name, default in named:
        field = SECTIONS[section][name]
        number = int(default.replace(",", "")) if default else field.default
        assert field.default in (number, number * 1_000), f"{section}.{name}"


def test_the_refusal_shown_is_the_one_sent() -> None:
    entry = codes.describe(codes.ResultCode.QUEUE_FULL)
    assert f'"meaning": "{entry.meaning}"' in PAGE
