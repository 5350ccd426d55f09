"""A TCP address."""

import ipaddress
from typing import Any

import attrs

from jujubetiller import schema


def _check_host(instance: object, attribute: Any, value: str) -> None:
    try:
        ipaddress.ip_address(value)
    except ValueError:
        raise schema.FieldError(
            attribute.name, f"allowed are IP numbers, got {value!r}"
        ) from None


def _check_port(instance: object, attribute: Any, value: int) -> None:
    if not 0 <= value <= 65535:
        raise schema.FieldError(
            attribute.name, f"allowed are ports from 0 to 65535, got {value}"
        )


@attrs.frozen
class Address:
    """An IP number and a TCP port.

    Port 0 on a listener lets the kernel choose a free port.
    """

    host: str = attrs.field(validator=_check_host)
    port: int = attrs.field(validator=_check_port)

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"
