"""The account of the memory that a node holds for clients, peers and its target."""

from jujubetiller.memory._allocator import return_freed_memory
from jujubetiller.memory._holder import Holder, HolderOwner, Kind
from jujubetiller.memory._memory_account import (
    LARGE_BYTES,
    OWN_BYTES,
    SMALL_BYTES,
    MemoryAccount,
    find_limit_bytes,
)
from jujubetiller.memory._process_memory import OwnProcessMemory, ProcessMemory
from jujubetiller.memory._relief import Relief
from jujubetiller.memory._resident_limit import ResidentLimit

__all__ = [
    "Holder",
    "HolderOwner",
    "Kind",
    "LARGE_BYTES",
    "MemoryAccount",
    "OWN_BYTES",
    "OwnProcessMemory",
    "ProcessMemory",
    "Relief",
    "ResidentLimit",
    "SMALL_BYTES",
    "find_limit_bytes",
    "return_freed_memory",
]
