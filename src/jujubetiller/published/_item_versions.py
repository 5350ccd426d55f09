"""The interface that gives published items their publishers' versions."""

import abc

from jujubetiller.published import _published_item, _publisher_version


class ItemVersions(abc.ABC):
    """Reads the versions that publishers give to their values."""

    @abc.abstractmethod
    def read_version(
        self, item: _published_item.PublishedItem
    ) -> _publisher_version.PublisherVersion | None:
        """Return the version of a value; ``None`` if it is invalid or has none."""

    @abc.abstractmethod
    def outlives_removal(self, key: str) -> bool:
        """Return whether the last value stays in use when the store lacks ``key``."""
