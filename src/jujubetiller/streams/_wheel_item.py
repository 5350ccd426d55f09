"""Base class of the items of the deadline wheel."""

import abc


class WheelItem(abc.ABC):
    """An item that expires at a deadline."""

    __slots__ = ()

    @abc.abstractmethod
    def expire(self) -> None:
        """End the item, because its deadline passed."""
