"""Guards against freed memory that stays resident."""

import ctypes
import pathlib
import subprocess
import sys

import pytest

from jujubetiller import memory

MB = 1_048_576

MAX_GROWTH_MB = 4.0

# With the default threshold, the second set of large blocks is cut from the heap, and
# the small block behind them keeps them resident.
SCRIPT = f"""
import pathlib, re
from jujubetiller import memory

def read_resident_mb():
    status = pathlib.Path("/proc/self/status").read_text()
    return int(re.search(r"VmRSS:\\s+(\\d+)", status)[1]) / 1024

assert memory.return_freed_memory()
before_mb = read_resident_mb()
kept = []
for _ in range(2):
    large = [b"x" * {8 * MB} for _ in range(4)]
    kept.append(bytes(10_000))
    del large
print(read_resident_mb() - before_mb)
"""


def test_large_blocks_are_returned_when_they_are_freed() -> None:
    source = pathlib.Path(memory.__file__).parents[2]
    ended = subprocess.run(
        [sys.executable, "-c", SCRIPT],
        env={"PYTHONPATH": f"{source}:{':'.join(sys.path)}"},
        capture_output=True,
        text=True,
        check=True,
    )
    assert float(ended.stdout) <= MAX_GROWTH_MB


def test_a_c_library_without_the_parameters_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(ctypes, "CDLL", lambda name: object())
    assert not memory.return_freed_memory()
