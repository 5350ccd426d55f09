"""The HTTP listener for operators."""

from jujubetiller.admin._admin_site import make_admin_site
from jujubetiller.admin._admin_view import AdminView
from jujubetiller.admin._instance_view import InstanceView
from jujubetiller.admin._limit_view import LimitView
from jujubetiller.admin._node_view import NodeView
from jujubetiller.admin._ticket_view import TicketView

__all__ = [
    "AdminView",
    "InstanceView",
    "LimitView",
    "NodeView",
    "TicketView",
    "make_admin_site",
]
