"""The ``version`` command."""

import jujubetiller


def version() -> int:
    """Print the version of the program."""
    print(f"jujubetiller {jujubetiller.__version__}")
    return 0
