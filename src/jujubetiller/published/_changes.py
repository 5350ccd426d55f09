"""Changes of published items."""

import attrs

from jujubetiller.published import _published_item, _revision


@attrs.frozen
class Changes:
    """Items that bring a reader up to ``revision``."""

    revision: _revision.Revision
    """All changes up to this one are in the items or already known to the reader."""

    items: tuple[_published_item.PublishedItem, ...]

    is_listing: bool
    """Whether the items are complete: no other key exists as of ``revision``."""

    exact_base: _revision.Revision | None = None
    """If set, only a reader that has exactly the changes up to this revision may apply
    the items: what came and went between it and ``revision`` is not in them."""
