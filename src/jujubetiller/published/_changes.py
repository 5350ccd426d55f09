"""Published items that one side has and the other may lack."""

import attrs

from jujubetiller.published import _published_item


@attrs.frozen
class Changes:
    """Items that bring a reader up to ``revision``."""

    revision: int
    """All changes up to this one are in the items or were known before."""

    items: tuple[_published_item.PublishedItem, ...]

    is_listing: bool
    """Whether keys that are not among the items are gone as of ``revision``."""
