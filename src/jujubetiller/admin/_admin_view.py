"""The interface from which the admin listener reads."""

import abc

from jujubetiller.admin import _node_view, _ticket_view


class AdminView(abc.ABC):
    """Read-only access to the state of a node that operators may see."""

    @abc.abstractmethod
    def node_view(self) -> _node_view.NodeView:
        """Return the current state of the node."""

    @abc.abstractmethod
    def ticket_view(self) -> _ticket_view.TicketView:
        """Return the tickets in force."""

    @abc.abstractmethod
    def metrics_text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""

    @abc.abstractmethod
    def is_ready(self) -> bool:
        """Return whether the node accepts new requests."""

    @abc.abstractmethod
    def is_draining(self) -> bool:
        """Return whether the node is shutting down."""
