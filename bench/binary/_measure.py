"""Measures the size, start time, memory and files of a program."""

import os
import pathlib
import statistics
import subprocess
import tempfile
import time

import attrs

STARTS = 5
BYTES_PER_KIB = 1024


@attrs.frozen
class Measurement:
    """Size, start times, memory and written files of a program."""

    size_bytes: int
    processes: int
    first_start_ms: float
    start_ms: float
    resident_kib: int
    written_bytes: int
    left_bytes: int


def count_bytes(path: pathlib.Path) -> int:
    """Return the bytes of a file or of all files below a directory."""
    if path.is_file():
        return path.stat().st_size
    return sum(
        file.stat().st_size
        for file in path.rglob("*")
        if file.is_file() and not file.is_symlink()
    )


def list_processes(process_id: int) -> list[int]:
    """Return ``process_id`` and the ids of all its descendants."""
    children = pathlib.Path(f"/proc/{process_id}/task").glob("*/children")
    found = [int(child) for file in children for child in file.read_text().split()]
    return [
        process_id,
        *(descendant for child in found for descendant in list_processes(child)),
    ]


def read_resident_kib(process_id: int) -> int:
    """Return the proportional set size: shared pages are divided among processes."""
    text = pathlib.Path(f"/proc/{process_id}/smaps_rollup").read_text()
    line = next(line for line in text.splitlines() if line.startswith("Pss:"))
    return int(line.split()[1])


def read_mapped_deleted_bytes(process_id: int) -> int:
    """Return the size of the deleted files that the process still maps."""
    sizes: dict[str, int] = {}
    for line in pathlib.Path(f"/proc/{process_id}/maps").read_text().splitlines():
        parts = line.split()
        if parts[-1] == "(deleted)":
            start, end = (int(number, 16) for number in parts[0].split("-"))
            sizes[parts[-2]] = sizes.get(parts[-2], 0) + end - start
    return sum(sizes.values())


def measure(command: list[str], size_bytes: int, settings: pathlib.Path) -> Measurement:
    """Time several starts of ``command``; measure it while it waits for input.

    ``explain -`` waits on standard input with all modules of the program loaded.
    """
    with tempfile.TemporaryDirectory() as directory:
        environment = {
            "HOME": directory,
            "SHIV_ROOT": directory,
            "TMPDIR": directory,
            "PATH": os.environ["PATH"],
        }
        times_ms = []
        for _ in range(1 + STARTS):
            started_at_s = time.perf_counter()
            subprocess.run(
                [*command, "version"],
                env=environment,
                check=True,
                stdout=subprocess.DEVNULL,
            )
            times_ms.append((time.perf_counter() - started_at_s) * 1000)
        left_bytes = count_bytes(pathlib.Path(directory))
        with subprocess.Popen(
            [*command, "explain", "-", "--settings", str(settings)],
            env=environment,
            stdin=subprocess.PIPE,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        ) as process:
            wait_until_idle(process.pid)
            processes = list_processes(process.pid)
            measurement = Measurement(
                size_bytes=size_bytes,
                processes=len(processes),
                first_start_ms=times_ms[0],
                start_ms=statistics.median(times_ms[1:]),
                resident_kib=sum(map(read_resident_kib, processes)),
                written_bytes=count_bytes(pathlib.Path(directory))
                + sum(map(read_mapped_deleted_bytes, processes)),
                left_bytes=left_bytes,
            )
            process.communicate(b"")
        return measurement


def wait_until_idle(process_id: int, quiet_ms: int = 500) -> None:
    """Wait until the processes use no CPU time for ``quiet_ms``."""
    before = -1.0
    while True:
        ticks = 0.0
        for listed_id in list_processes(process_id):
            fields = pathlib.Path(f"/proc/{listed_id}/stat").read_text().rsplit(")")[-1]
            ticks += sum(int(number) for number in fields.split()[11:13])
        if ticks == before:
            return
        before = ticks
        time.sleep(quiet_ms / 1000)
