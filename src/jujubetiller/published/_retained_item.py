"""What a node knows better than a restored store."""

import attrs

from jujubetiller.published import _published_item


@attrs.frozen
class RetainedItem:
    """The last value of a key, of which a restored store holds an older one or none."""

    item: _published_item.PublishedItem
    """The value, with the revision that it had in the history that was lost."""

    is_removed: bool
    """Whether the key was removed after that value."""
