"""The message by which a node passes changes on."""

import ipaddress
from typing import Any

import attrs
import msgpack
import result

from jujubetiller import codes, published, settings
from jujubetiller.mesh import _state_message


@attrs.frozen
class StatePush:
    """Changes that the receiver applies and passes on."""

    sender: settings.Address
    """The peer address of the node that has the changes."""

    base: published.Revision
    """A node with an older state lacks changes in between, and requests them."""

    answer: bytes
    """The encoded ``StateAnswer`` that holds the changes."""

    forward_to: tuple[str, ...] = ()
    """The hosts to which the receiver passes the message on."""

    starts_in_zone: bool = False
    """Whether the receiver is to pass the changes on to all nodes of its zone."""

    def encode(self) -> bytes:
        """Return the body of the message."""
        fields = [
            *attrs.astuple(self.sender),
            _state_message.encode_revision(self.base),
            self.answer,
            self.forward_to,
            self.starts_in_zone,
        ]
        return bytes(msgpack.packb(fields))


def decode_push(body: bytes) -> result.Result[StatePush, codes.Problem]:
    """Return the message in ``body``."""
    check = _state_message.check
    try:
        host, port, base, answer, forward_to, starts_in_zone = msgpack.unpackb(body)
        return result.Ok(
            StatePush(
                settings.Address(check(host, str), check(port, int)),
                _state_message.decode_revision(base),
                check(answer, bytes),
                tuple(_check_host(each) for each in check(forward_to, list)),
                check(starts_in_zone, bool),
            )
        )
    except (ValueError, TypeError) as error:
        return result.Err(_state_message.describe(error))


def _check_host(value: Any) -> str:
    """Return the host in a message; raises ``TypeError`` or ``ValueError`` if none."""
    host: str = _state_message.check(value, str)
    ipaddress.ip_address(host)
    return host
