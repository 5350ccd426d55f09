"""A page of published items."""

import attrs

from jujubetiller.published import _published_item


@attrs.frozen
class ItemPage:
    """Some of the items under a prefix, as of a moment that is not known."""

    items: tuple[_published_item.PublishedItem, ...]

    is_last: bool
    """Whether there were no further items."""
