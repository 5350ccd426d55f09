"""A rule for real numbers."""

from jujubetiller.frames import _number


class RealNumber(_number.Number):
    """Allows finite numbers from ``lowest`` to ``highest``."""

    TYPES = (float, int)
