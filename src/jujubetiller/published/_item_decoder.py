"""The interface of decoders of published items."""

import abc

import result

from jujubetiller import codes, routes
from jujubetiller.published import (
    _item_versions,
    _published_instance,
    _published_item,
)


class ItemDecoder(_item_versions.ItemVersions):
    """Turns published items into configurations and instances.

    No method raises for a value that it can't decode: items are applied in batches, and
    one that can't be read must not keep the others from being applied.
    """

    @abc.abstractmethod
    def instance_name(self, key: str) -> str | None:
        """Return the name of the instance that ``key`` describes, if any."""

    @abc.abstractmethod
    def is_configuration(self, key: str) -> bool:
        """Return whether ``key`` holds the configuration."""

    @abc.abstractmethod
    def decode_instance(
        self, item: _published_item.PublishedItem
    ) -> result.Result[_published_instance.PublishedInstance, codes.Problem]:
        """Return the instance that ``item`` describes."""

    @abc.abstractmethod
    def decode_configuration(
        self, item: _published_item.PublishedItem
    ) -> result.Result[routes.Configuration, codes.Problem]:
        """Return the configuration in ``item``."""
