"""The store and the instances around mesh nodes, in one process."""

from standins.mesh_site._instance_site import InstanceSite
from standins.mesh_site._operator_site import OperatorSite
from standins.mesh_site._store_site import StoreSite

__all__ = ["InstanceSite", "OperatorSite", "StoreSite"]
