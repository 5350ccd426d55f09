"""The node process, which connects the other packages to each other."""

from jujubetiller.node._node import Node
from jujubetiller.node._run import run

__all__ = ["Node", "run"]
