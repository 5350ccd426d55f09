"""One published value."""

import attrs

from jujubetiller.published import _revision


@attrs.frozen
class PublishedItem:
    """The value of a key as of its last change."""

    key: str

    revision: _revision.Revision
    """The change that gave the key this value."""

    value: bytes | None
    """``None`` after a removal."""
