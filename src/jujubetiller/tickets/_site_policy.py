"""The object ``site/policy``."""

import attrs

from jujubetiller.tickets import _fields


@attrs.frozen
class SitePolicy:
    """Defines the settings in which sites differ.

    An absent limit policy or queue order leaves the choice to the settings of
    the node.
    """

    site: str = attrs.field(validator=_fields.check_name)

    limit_policy: str | None = attrs.field(
        default=None, validator=_fields.one_of(_fields.LIMIT_POLICIES)
    )

    queue_order: str | None = attrs.field(
        default=None, validator=_fields.one_of(_fields.QUEUE_ORDERS)
    )

    slow_ms: int = attrs.field(default=250, validator=_fields.in_range(1, 25_000))
    """Slower answers are recorded, unless their request kind has its own value."""
