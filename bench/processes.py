"""Reads processor time and memory of processes that the bench started."""

import os
import pathlib
import time

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def read_processor_s(pid: int) -> float:
    """Return the processor seconds that a process used so far."""
    # The clock id of another process, as clock_getcpuclockid(3) computes it.
    return time.clock_gettime((~pid << 3) | 2)


def read_resident_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    pages = pathlib.Path(f"/proc/{pid}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES / 1e6
