"""Checks of JSON documents against attrs classes."""

from jujubetiller.schema._field_error import FieldError
from jujubetiller.schema._parse_json import parse_json
from jujubetiller.schema._structure import structure

__all__ = ["FieldError", "parse_json", "structure"]
