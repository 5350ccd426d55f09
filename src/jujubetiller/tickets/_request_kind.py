"""The object ``request_kind/<name>``."""

import attrs

from jujubetiller.tickets import _fields


@attrs.frozen
class RequestKind:
    """Defines how nodes treat one kind of request; set by operators."""

    name: str = attrs.field(validator=_fields.check_name)

    service: str = attrs.field(validator=_fields.check_name)

    method: str = attrs.field(validator=_fields.one_of(_fields.METHODS))

    path_prefix: str = attrs.field(validator=_fields.check_path_prefix)
    """Matches whole path segments: ``/book`` covers ``/book/7``, not ``/books``."""

    priority_class: int = attrs.field(validator=_fields.in_range(0, 7))
    """0 is the most important class."""

    idempotent: bool

    deadline_ms: int = attrs.field(validator=_fields.in_range(1, 25_000))
    """The limit is below ``drain_ms``, so that every call can end during a drain."""

    retry_tokens: int = attrs.field(default=3, validator=_fields.in_range(0, 100))

    slow_ms: int | None = attrs.field(
        default=None, validator=_fields.in_range(1, 25_000)
    )
    """Answers slower than this are recorded; the default is the site policy's."""
