"""A rule for whole numbers."""

from jujubetiller.frames import _number


class WholeNumber(_number.Number):
    """Allows whole numbers from ``lowest`` to ``highest``."""

    TYPES = (int,)
    NOUN = "whole numbers"
