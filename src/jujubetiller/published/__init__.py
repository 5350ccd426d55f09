"""Items that operators and instances publish, merged by revision."""

from jujubetiller.published._changes import Changes
from jujubetiller.published._item_decoder import ItemDecoder
from jujubetiller.published._item_source import ItemSource
from jujubetiller.published._item_versions import ItemVersions
from jujubetiller.published._published_instance import PublishedInstance
from jujubetiller.published._published_item import PublishedItem
from jujubetiller.published._published_state import PublishedState
from jujubetiller.published._publisher_version import PublisherVersion
from jujubetiller.published._retained_item import RetainedItem
from jujubetiller.published._revision import MAX_NUMBER, Revision
from jujubetiller.published._state_age import StateAge
from jujubetiller.published._store_freshness import StoreFreshness
from jujubetiller.published._store_position import StorePosition
from jujubetiller.published._store_proofs import (
    CLOCK_RATE_MARGIN,
    PROOF_INTERVAL_MS,
    StoreProofs,
)

__all__ = [
    "CLOCK_RATE_MARGIN",
    "MAX_NUMBER",
    "PROOF_INTERVAL_MS",
    "Changes",
    "ItemDecoder",
    "ItemSource",
    "ItemVersions",
    "PublishedInstance",
    "PublishedItem",
    "PublishedState",
    "PublisherVersion",
    "RetainedItem",
    "Revision",
    "StateAge",
    "StoreFreshness",
    "StorePosition",
    "StoreProofs",
]
