"""What is known about one instance."""

import sys
from collections.abc import Sequence
from typing import Any

import attrs
import msgpack
import xxhash

from jujubetiller import settings


@attrs.frozen
class InstanceRecord:
    """What an instance shows of itself and what the published list says of it.

    Incarnation 0 means that only the published list names the instance. The
    fields up to ``refresh`` are the instance's own word from incarnation 1 on,
    and the last three are the list's.
    """

    instance: str
    service: str
    zone: str
    host: str
    peer_port: int

    incarnation: int = 0
    boot_id: str = ""

    draining: bool = False

    leaving: bool = False
    """The instance's own word; at incarnation 0 that of the published list."""

    refresh: int = 0
    """Raised by a running instance that the published list does not have."""

    list_version: int = 0
    """Version of the published list behind ``listed``; 0 without any."""

    listed: bool = False

    listed_leaving: bool = False

    @property
    def process(self) -> tuple[int, str]:
        """The order of two processes of one instance; the greater one counts."""
        return (self.incarnation, self.boot_id)

    @property
    def accepts_new_work(self) -> bool:
        """Whether the instance is neither draining nor leaving."""
        return not self.draining and not self.leaving

    @property
    def is_absent(self) -> bool:
        """Whether a published list is known that does not have the instance."""
        return self.list_version > 0 and not self.listed

    @property
    def topology_key(self) -> tuple[str, str, int, bool]:
        """What the choice of neighbours depends on."""
        return (self.zone, self.host, self.peer_port, self.leaving)

    @property
    def address(self) -> settings.Address:
        """The address of the node's peer listener."""
        return settings.Address(self.host, self.peer_port)

    def as_wire(self) -> list[Any]:
        """Return the msgpack-able form that ``read_wire_record`` takes."""
        return [
            self.instance,
            self.service,
            self.zone,
            self.host,
            self.peer_port,
            self.incarnation,
            self.boot_id,
            self.draining,
            self.leaving,
            self.refresh,
            self.list_version,
            self.listed,
            self.listed_leaving,
        ]

    def digest(self) -> bytes:
        """Return 16 bytes over all fields."""
        return xxhash.xxh3_128_digest(msgpack.packb(self.as_wire()))


_WIRE_TYPES: tuple[type, ...] = (
    *(str, str, str, str, int),
    *(int, str, bool, bool, int),
    *(int, bool, bool),
)

_LONGEST_TEXT = 100

_HIGHEST_NUMBER = 2**53


def _is_in_range(value: Any) -> bool:
    if isinstance(value, str):
        return len(value) <= _LONGEST_TEXT
    return 0 <= value <= _HIGHEST_NUMBER


def read_wire_record(wire: Any) -> InstanceRecord | None:
    """Return the record in ``wire``, or ``None`` when it is not valid."""
    if not isinstance(wire, Sequence) or len(wire) != len(_WIRE_TYPES):
        return None
    for value, expected in zip(wire, _WIRE_TYPES, strict=True):
        if type(value) is not expected or not _is_in_range(value):
            return None
    if not wire[0] or not wire[2]:
        return None
    try:
        settings.Address(wire[3], wire[4])
    except ValueError:
        return None
    # A few hundred services and zones are shared by thousands of records.
    return InstanceRecord(wire[0], sys.intern(wire[1]), sys.intern(wire[2]), *wire[3:])
