"""One published value."""

import attrs


@attrs.frozen
class PublishedItem:
    """The value of a key as of its last change."""

    key: str

    revision: int
    """Number of the change; it increases across all keys."""

    value: bytes | None
    """``None`` after a removal."""
