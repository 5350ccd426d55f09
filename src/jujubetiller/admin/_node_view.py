"""The state of a node."""

import attrs

from jujubetiller.admin import _instance_view, _limit_view


@attrs.frozen
class NodeView:
    """The document that ``/view`` returns."""

    version: str
    instance: str
    service: str
    zone: str
    incarnation: int
    boot_id: str
    ready: bool
    draining: bool

    platform_age_ms: float
    """Age of the newest known platform answer; negative if there was none."""

    ticket_number: int
    """The highest ticket number in force."""

    ticket_conflicts: int
    """Ticket numbers that were received with two different contents."""

    limit: _limit_view.LimitView
    instances: tuple[_instance_view.InstanceView, ...] = ()
