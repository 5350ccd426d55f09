"""What the crashes so far say about a request."""

import enum


class Standing(enum.Enum):
    """How a request may be run."""

    CLEAR = "clear"
    """Like any other."""

    SUSPECT = "suspect"
    """It was running when an instance crashed, or it is due for another trial. It runs
    at one instance of the service at a time, with no other suspect beside it."""

    BLAMED = "blamed"
    """It has crashed instances and is refused for a while."""
