"""The memory of this process as the system sees it."""

import abc
import gc
import mmap
import pathlib

from jujubetiller.memory import _allocator

_STATUS = pathlib.Path("/proc/self/statm")
_RESIDENT_PAGES = 1
"""Position of the resident pages among the numbers of ``statm``."""


class ProcessMemory(abc.ABC):
    """The memory of a process, which tests replace."""

    @abc.abstractmethod
    def read_resident_bytes(self) -> int | None:
        """Return the resident memory; None if it is not known."""

    @abc.abstractmethod
    def return_freed(self) -> None:
        """Return as much freed memory as possible to the system."""


class OwnProcessMemory(ProcessMemory):
    """The memory of this process."""

    def read_resident_bytes(self) -> int | None:
        """Return the resident memory; None on a system without ``/proc``."""
        try:
            numbers = _STATUS.read_bytes().split()
            return int(numbers[_RESIDENT_PAGES]) * mmap.PAGESIZE
        except (OSError, ValueError, IndexError):
            return None

    def return_freed(self) -> None:
        """Drop the interpreter's lists of free objects, and trim the heap.

        A single free tuple keeps an arena of 1 MB. Only a full collection drops them.
        """
        gc.collect()
        _allocator.trim_heap()
