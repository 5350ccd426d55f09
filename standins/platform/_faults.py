"""Fault injection for the configuration service."""

import attrs

from jujubetiller import schema

MODES = ("none", "down", "silent", "slow", "stale", "older")


def _check_mode(instance: object, attribute: object, value: str) -> None:
    if value not in MODES:
        raise schema.FieldError("mode", f"allowed are {', '.join(MODES)}")


@attrs.frozen
class Faults:
    """Describes the fault that is injected at present.

    ``down`` resets every connection, ``silent`` accepts requests and never answers,
    ``slow`` delays every answer by ``delay_ms``, ``stale`` keeps returning the values
    of the moment at which the fault was set, and ``older`` returns the version of a
    key from ``steps_back`` changes ago.
    """

    mode: str = attrs.field(default="none", validator=_check_mode)
    delay_ms: int = 1_000
    steps_back: int = 1
