"""Clients that send what exhausts a node, and what the node occupies afterwards."""

import concurrent.futures
import contextlib
import os
import pathlib
import re
import socket
from collections.abc import Callable, Iterable, Iterator

from standins import mesh_site

STUCK_S = 2.0
"""A client whose bytes are not taken for this long stops to send."""

SEGMENT_BYTES = 65_536

HEAD = b"POST /get/1 HTTP/1.1\r\nHost: a.example\r\n"


_LISTENING = "0A"
"""State in ``/proc/net/tcp``, where the queue is one of connections."""


@contextlib.contextmanager
def start_site(
    folder: pathlib.Path, max_body_bytes: int | None = None, **limits: int
) -> Iterator[mesh_site.LocalMeshSite]:
    """Run a site whose nodes have ``limits``, as they stand in their settings."""
    with contextlib.ExitStack() as stack:
        site = mesh_site.LocalMeshSite(folder, stack)
        lines = [f"{name} = {value}\n" for name, value in limits.items()]
        site.extra_settings = "".join(("[limits]\n", *lines))
        if max_body_bytes is not None:
            site.request_limits = {"max_body_bytes": max_body_bytes}
        site.start()
        yield site


class Crowd:
    """Connections that stay open until the crowd is closed."""

    def __init__(self, node: mesh_site.MeshProcess, listener: str = "egress") -> None:
        self.address = node.host, node.ports + mesh_site.OFFSETS[listener]
        self.sockets: list[socket.socket] = []

    def run(self, clients: int, make_parts: Callable[[], Iterable[bytes]]) -> None:
        """Have ``clients`` send at once, each until its parts end or are refused."""
        with concurrent.futures.ThreadPoolExecutor(clients) as pool:
            for ended in [pool.submit(self.send, make_parts()) for _ in range(clients)]:
                ended.result()

    def send(self, parts: Iterable[bytes]) -> None:
        """Send ``parts`` over a new connection, which stays open."""
        # A refused or closed connection, and one that is not read, end the sending.
        with contextlib.suppress(OSError):
            connection = socket.create_connection(self.address, STUCK_S)
            self.sockets.append(connection)
            for part in parts:
                connection.sendall(part)

    def close(self) -> None:
        """Close all connections."""
        while self.sockets:
            self.sockets.pop().close()


def repeat(start: bytes, unit: bytes, total_bytes: int) -> Iterable[bytes]:
    """Yield ``start``, then segments of repeated units up to ``total_bytes``."""
    yield start
    segment = unit * max(1, SEGMENT_BYTES // len(unit))
    for _ in range(total_bytes // len(segment)):
        yield segment


def send_body(length: int, sent: int, piece_bytes: int) -> Iterable[bytes]:
    """Yield a head with a length, and ``sent`` bytes of the body in pieces."""
    yield HEAD + b"Content-Length: %d\r\n\r\n" % length
    for _ in range(sent // piece_bytes):
        yield b"x" * piece_bytes


def send_chunks(sent: int, chunk_bytes: int) -> Iterable[bytes]:
    """Yield a head and ``sent`` bytes of a body in chunks that do not end."""
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    in_segment = max(1, SEGMENT_BYTES // len(chunk))
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for _ in range(sent // (in_segment * chunk_bytes)):
        yield chunk * in_segment


def send_one_chunk(chunk_bytes: int, sent: int) -> Iterable[bytes]:
    """Yield a head and ``sent`` bytes of a single chunk of ``chunk_bytes``."""
    yield HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % chunk_bytes
    for _ in range(sent // SEGMENT_BYTES):
        yield b"x" * SEGMENT_BYTES


def read_peak_mb(node: mesh_site.MeshProcess) -> float:
    """Return the highest resident memory of the process so far."""
    return _read_status_mb(node, "VmHWM")


def read_resident_mb(node: mesh_site.MeshProcess) -> float:
    """Return the resident memory of the process."""
    return _read_status_mb(node, "VmRSS")


def _read_status_mb(node: mesh_site.MeshProcess, field: str) -> float:
    status = pathlib.Path(f"/proc/{node.process.pid}/status").read_text()
    found = re.search(rf"{field}:\s+(\d+) kB", status)
    assert found is not None
    return int(found.group(1)) / 1024.0


def read_unread_mb(node: mesh_site.MeshProcess, listener: str) -> float:
    """Return what the system holds for a listener's connections until it is read."""
    port = node.ports + mesh_site.OFFSETS[listener]
    octets = reversed(node.host.split("."))
    local = "".join(f"{int(octet):02X}" for octet in octets) + f":{port:04X}"
    unread_bytes = 0
    for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:]:
        _, address, _, state, queues, *_ = line.split()
        if address == local and state != _LISTENING:
            unread_bytes += int(queues.partition(":")[2], 16)
    return unread_bytes / 1_048_576


def count_sockets(node: mesh_site.MeshProcess) -> int:
    """Return the number of open sockets of the process."""
    number = 0
    for descriptor in pathlib.Path(f"/proc/{node.process.pid}/fd").iterdir():
        # A descriptor may be closed meanwhile.
        with contextlib.suppress(OSError):
            number += os.readlink(descriptor).startswith("socket:")
    return number


def count_descriptors(node: mesh_site.MeshProcess) -> int:
    """Return the number of open descriptors of the process."""
    return len(os.listdir(f"/proc/{node.process.pid}/fd"))
