"""What the C library's allocator keeps of memory that was freed."""

import ctypes

import logbook

_LOG = logbook.Logger("jujubetiller.memory")

MMAP_THRESHOLD_BYTES = 131_072
"""Larger blocks are mapped one by one and returned to the system when they are freed.
Reads of 64 KB stay below it: a mapping for each read would cost two system calls."""

TRIM_THRESHOLD_BYTES = 1_048_576
"""Free memory at the end of the heap that is kept."""

# Parameters of mallopt in malloc.h.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3

_PARAMETERS = {
    _M_MMAP_THRESHOLD: MMAP_THRESHOLD_BYTES,
    _M_TRIM_THRESHOLD: TRIM_THRESHOLD_BYTES,
}


def trim_heap() -> None:
    """Return free pages inside the heap to the system, if the C library can."""
    malloc_trim = getattr(ctypes.CDLL(None), "malloc_trim", None)
    if malloc_trim is not None:
        malloc_trim(0)


def return_freed_memory() -> bool:
    """Have the allocator return large blocks to the system as soon as they are freed.

    By default glibc raises its threshold up to 32 MB when it frees a mapped block.
    Later bodies are then cut from the heap, where free gaps between them stay
    resident although the account no longer counts them.

    Returns False, and logs it, if the C library has no such parameters.
    """
    library = ctypes.CDLL(None)
    mallopt = getattr(library, "mallopt", None)
    if mallopt is None or not all(mallopt(*pair) for pair in _PARAMETERS.items()):
        _LOG.warning("freed memory may stay resident: mallopt is not available")
        return False
    return True
