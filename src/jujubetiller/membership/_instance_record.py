"""The membership record of one instance."""

import sys
from collections.abc import Sequence
from typing import Any

import attrs
import msgpack
import xxhash

from jujubetiller import settings


@attrs.frozen
class InstanceRecord:
    """Combines an instance's own announcement with its entry in the published list.

    Incarnation 0 means that only the published list names the instance. From
    incarnation 1 on, the fields up to ``refresh`` come from the instance itself.
    The last three always come from the list.
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
    """Announced by the instance; at incarnation 0 taken from the published list."""

    refresh: int = 0
    """Counter that a running instance raises while the published list lacks it."""

    list_version: int = 0
    """Version of the published list that ``listed`` is taken from; 0 if none."""

    listed: bool = False

    listed_leaving: bool = False

    @property
    def process(self) -> tuple[int, str]:
        """Sort key of processes of one instance; the greatest is the current one."""
        return (self.incarnation, self.boot_id)

    @property
    def accepts_new_work(self) -> bool:
        """Whether the instance is neither draining nor leaving."""
        return not self.draining and not self.leaving

    @property
    def is_absent(self) -> bool:
        """Whether the newest known published list lacks the instance."""
        return self.list_version > 0 and not self.listed

    @property
    def topology_key(self) -> tuple[str, str, int, bool]:
        """The fields that the choice of neighbours depends on."""
        return (self.zone, self.host, self.peer_port, self.leaving)

    @property
    def address(self) -> settings.Address:
        """The address of the node's peer listener."""
        return settings.Address(self.host, self.peer_port)

    def as_wire(self) -> list[Any]:
        """Return the list that is sent as msgpack and read by ``read_wire_record``."""
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
    # Interned, as thousands of records share a few hundred services and zones.
    return InstanceRecord(wire[0], sys.intern(wire[1]), sys.intern(wire[2]), *wire[3:])
