"""The order of changes of the store."""

import attrs

MAX_NUMBER = 2**53
"""The store sends JSON numbers, which are exact up to here."""

_NUMBERS_PER_EPOCH = 2**32


@attrs.frozen(order=True)
class Revision:
    """The position of a change in the histories of the store.

    A store that is restored from a copy starts a new history, in which the numbers of
    the lost changes are given out again. Every revision of a newer history comes after
    all those of older ones.
    """

    epoch: int = 0
    """Number of the history; it increases with each restore."""

    number: int = 0
    """Number of the change in its history; it increases across all keys."""

    @property
    def rank(self) -> int:
        """A number that orders revisions as they are, for fields that hold one number.

        It is exact for epochs below 2**21 and numbers below 2**32.
        """
        return self.epoch * _NUMBERS_PER_EPOCH + min(
            self.number, _NUMBERS_PER_EPOCH - 1
        )

    def __str__(self) -> str:
        return f"{self.epoch}:{self.number}"
