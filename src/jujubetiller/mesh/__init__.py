"""A node for callers and targets that send neither execution keys nor call contexts."""

from jujubetiller.mesh._header_names import HeaderNames
from jujubetiller.mesh._mesh_node import MeshNode
from jujubetiller.mesh._mesh_parts import MeshParts
from jujubetiller.mesh._retry_budget import RetryBudget
from jujubetiller.mesh._run import run

__all__ = ["HeaderNames", "MeshNode", "MeshParts", "RetryBudget", "run"]
