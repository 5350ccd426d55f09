"""The order in which a publisher wrote the values of one key."""

import attrs


@attrs.frozen(order=True)
class PublisherVersion:
    """The position of a value among all that its publisher wrote under the key.

    It comes from the value itself. A store that is restored from a copy returns to an
    older value; the version tells that it is older.
    """

    incarnation: int
    """When the publisher started; 0 for one that keeps counting across restarts."""

    number: int
    """Number of the value within the incarnation."""
