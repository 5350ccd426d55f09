"""Entry point of the ``jujubetiller`` program."""

import sys

from jujubetiller import command


def main() -> None:
    """Run the command named on the command line and exit with its status."""
    sys.exit(command.run(sys.argv[1:]))


if __name__ == "__main__":
    main()
