"""The command line."""

from jujubetiller.command._dispatch import run

__all__ = ["run"]
