"""Items that operators and instances publish, merged by revision."""

from jujubetiller.published._changes import Changes
from jujubetiller.published._item_decoder import ItemDecoder
from jujubetiller.published._item_source import ItemSource
from jujubetiller.published._published_instance import PublishedInstance
from jujubetiller.published._published_item import PublishedItem
from jujubetiller.published._published_state import PublishedState
from jujubetiller.published._revision import MAX_NUMBER, Revision

__all__ = [
    "MAX_NUMBER",
    "Changes",
    "ItemDecoder",
    "ItemSource",
    "PublishedInstance",
    "PublishedItem",
    "PublishedState",
    "Revision",
]
