"""A rule for fields that hold bytes."""

from jujubetiller.frames import _sized


class Octets(_sized.Sized):
    """Allows at most ``max_length`` bytes."""

    TYPES = (bytes,)
    NOUN = "bytes"
