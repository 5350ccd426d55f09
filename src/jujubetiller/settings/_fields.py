"""Field definitions with ranges, shared by the settings classes."""

from typing import Any

import attrs

from jujubetiller import schema

# Keys of the metadata from which docs/configuration.md is generated.
ALLOWED = "allowed"
BOUNDS = "bounds"


def whole_number(default: int, lowest: int, highest: int) -> Any:
    """Return a field for a whole number from ``lowest`` to ``highest``."""

    def check(instance: object, attribute: Any, value: int) -> None:
        _check_range(attribute, value, lowest, highest, "whole numbers")

    return attrs.field(
        default=default,
        validator=check,
        metadata={ALLOWED: f"{lowest} to {highest}", BOUNDS: (lowest, highest)},
    )


def optional_whole_number(lowest: int, highest: int) -> Any:
    """Return a field for None or a whole number from ``lowest`` to ``highest``."""

    def check(instance: object, attribute: Any, value: int | None) -> None:
        if value is not None:
            _check_range(attribute, value, lowest, highest, "whole numbers")

    return attrs.field(
        default=None,
        validator=check,
        metadata={ALLOWED: f"none, or {lowest} to {highest}"},
    )


def real_number(default: float, lowest: float, highest: float) -> Any:
    """Return a field for a real number from ``lowest`` to ``highest``."""

    def check(instance: object, attribute: Any, value: float) -> None:
        _check_range(attribute, value, lowest, highest, "numbers")

    return attrs.field(
        default=default,
        validator=check,
        metadata={ALLOWED: f"{lowest} to {highest}", BOUNDS: (lowest, highest)},
    )


def check_name(instance: object, attribute: Any, value: str) -> None:
    """Validate a name of 1 to 100 printable characters without a slash."""
    if not 1 <= len(value) <= 100 or not value.isprintable() or "/" in value:
        raise schema.FieldError(
            attribute.name,
            "allowed are names of 1 to 100 printable characters without '/', "
            f"got {value!r}",
        )


def choice(default: str, *allowed: str) -> Any:
    """Return a field for one of the ``allowed`` strings."""

    def check(instance: object, attribute: Any, value: str) -> None:
        if value not in allowed:
            raise schema.FieldError(
                attribute.name, f"allowed are {', '.join(allowed)}, got {value!r}"
            )

    return attrs.field(
        default=default, validator=check, metadata={ALLOWED: ", ".join(allowed)}
    )


def _check_range(
    attribute: Any, value: float, lowest: float, highest: float, kind: str
) -> None:
    """Raise ``schema.FieldError`` for a value outside the range."""
    if not lowest <= value <= highest:
        raise schema.FieldError(
            attribute.name,
            f"allowed are {kind} from {lowest} to {highest}, got {value}",
        )
