"""A node for callers and instances that bring neither keys nor contexts."""

from jujubetiller.mesh._header_names import HeaderNames
from jujubetiller.mesh._mesh_node import MeshNode
from jujubetiller.mesh._mesh_parts import MeshParts
from jujubetiller.mesh._repeat_budget import RepeatBudget
from jujubetiller.mesh._run import run

__all__ = ["HeaderNames", "MeshNode", "MeshParts", "RepeatBudget", "run"]
