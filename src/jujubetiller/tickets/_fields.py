"""Validators for the fields of ticket objects."""

from typing import Any

from jujubetiller import schema

LIMIT_POLICIES = ("fixed", "additive", "gradient")

QUEUE_ORDERS = ("arrival", "priority")

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

LONGEST_NAME = 100

LONGEST_PATH_PREFIX = 200


def check_name(instance: object, attribute: Any, value: str) -> None:
    """Validate a name of printable characters without a slash."""
    if not is_name(value):
        raise schema.FieldError(
            attribute.name,
            f"allowed are names of 1 to {LONGEST_NAME} printable characters "
            f"without '/', got {value[:LONGEST_NAME]!r}",
        )


def is_name(value: str) -> bool:
    """Return whether ``value`` can name a service, a kind or an author."""
    return 1 <= len(value) <= LONGEST_NAME and value.isprintable() and "/" not in value


def check_path_prefix(instance: object, attribute: Any, value: str) -> None:
    """Validate the leading part of a URL path."""
    if (
        not value.startswith("/")
        or len(value) > LONGEST_PATH_PREFIX
        or not value.isprintable()
        or any(mark in value for mark in "?# ")
    ):
        raise schema.FieldError(
            attribute.name,
            f"allowed are paths of 1 to {LONGEST_PATH_PREFIX} printable characters "
            f"that start with '/' and hold no '?', '#' or space, "
            f"got {value[:LONGEST_PATH_PREFIX]!r}",
        )


def in_range(lowest: int, highest: int) -> Any:
    """Return a validator for whole numbers; ``None`` passes as absent."""

    def check(instance: object, attribute: Any, value: int | None) -> None:
        if value is not None and not lowest <= value <= highest:
            raise schema.FieldError(
                attribute.name,
                f"allowed are whole numbers from {lowest} to {highest}, got {value}",
            )

    return check


def one_of(allowed: tuple[str, ...]) -> Any:
    """Return a validator for one of some words; ``None`` passes as absent."""

    def check(instance: object, attribute: Any, value: str | None) -> None:
        if value is not None and value not in allowed:
            raise schema.FieldError(
                attribute.name,
                f"allowed are {', '.join(allowed)}, got {value[:LONGEST_NAME]!r}",
            )

    return check
