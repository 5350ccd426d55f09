"""Stand-ins for the store and the instances that mesh nodes use, in one process."""

from standins.mesh_site._crash_plan import CrashPlan, Run
from standins.mesh_site._instance_listener import InstanceListener
from standins.mesh_site._instance_site import InstanceSite
from standins.mesh_site._local_mesh_site import HOSTS, LocalMeshSite, find_port_base
from standins.mesh_site._mesh_process import OFFSETS, MeshProcess
from standins.mesh_site._operator_site import OperatorSite
from standins.mesh_site._store_site import StoreSite

__all__ = [
    "CrashPlan",
    "Run",
    "HOSTS",
    "InstanceListener",
    "InstanceSite",
    "LocalMeshSite",
    "MeshProcess",
    "OFFSETS",
    "OperatorSite",
    "StoreSite",
    "find_port_base",
]
