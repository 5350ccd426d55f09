"""The object ``service/<name>``."""

import attrs

from jujubetiller.tickets import _fields


@attrs.frozen
class ServiceDefinition:
    """Defines the capacity and limits of one service; set by operators.

    An absent limit policy or queue order leaves the choice to the site policy,
    and then to the settings of the node. Absent bounds of the queue leave the
    choice to the settings.
    """

    name: str = attrs.field(validator=_fields.check_name)

    slots: int = attrs.field(validator=_fields.in_range(1, 100_000))
    """Calls that one instance can run at once."""

    queue_length: int | None = attrs.field(
        default=None, validator=_fields.in_range(0, 100_000)
    )

    queue_wait_ms: int | None = attrs.field(
        default=None, validator=_fields.in_range(1, 60_000)
    )
    """The longest wait in the queue."""

    limit_policy: str | None = attrs.field(
        default=None, validator=_fields.one_of(_fields.LIMIT_POLICIES)
    )

    queue_order: str | None = attrs.field(
        default=None, validator=_fields.one_of(_fields.QUEUE_ORDERS)
    )
