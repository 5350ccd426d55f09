"""A rule for fields that hold text."""

from jujubetiller.frames import _sized


class Text(_sized.Sized):
    """Allows text of at most ``max_length`` characters."""

    TYPES = (str,)
    NOUN = "text"
