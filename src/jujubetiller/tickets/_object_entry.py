"""One object of the ticket state."""

from typing import Any

import attrs
import xxhash

from jujubetiller.tickets import _request_kind, _service_definition, _site_policy

TicketObject = (
    _service_definition.ServiceDefinition
    | _request_kind.RequestKind
    | _site_policy.SitePolicy
)


@attrs.frozen
class ObjectEntry:
    """An object with the number of the ticket that last changed it.

    An entry without content records a removal. It is kept, so that an older
    ticket that arrives later cannot bring the object back.
    """

    name: str
    """Full name, for example ``service/ledger``."""

    number: int

    author: str

    content: bytes | None
    """Canonical JSON; ``None`` for a removal."""

    parsed: TicketObject | None

    content_digest: bytes
    """16 bytes over author and content."""

    digest: bytes
    """16 bytes over name, number and ``content_digest``."""

    @property
    def version(self) -> tuple[int, bytes]:
        """Sort key of the entries of one object; the greatest is in force."""
        return (self.number, self.content_digest)

    def as_wire(self) -> list[Any]:
        """Return the list that is sent as msgpack and read by ``TicketState.load``."""
        return [self.name, self.number, self.author, self.content]


def make_entry(
    name: str,
    number: int,
    author: str,
    content: bytes | None,
    parsed: TicketObject | None,
) -> ObjectEntry:
    """Return the entry with its digests."""
    marked = b"-" if content is None else b"+" + content
    content_digest = xxhash.xxh3_128_digest(author.encode() + b"\0" + marked)
    digest = xxhash.xxh3_128_digest(f"{name}\0{number}\0".encode() + content_digest)
    return ObjectEntry(name, number, author, content, parsed, content_digest, digest)
