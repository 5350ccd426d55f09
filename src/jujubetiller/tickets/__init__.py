"""Change tickets and the state that results from merging them."""

from jujubetiller.tickets._merge_result import MergeResult
from jujubetiller.tickets._object_entry import ObjectEntry
from jujubetiller.tickets._parse import (
    MAX_TICKET_BYTES,
    MAX_TICKET_OBJECTS,
    parse_ticket,
)
from jujubetiller.tickets._request_kind import RequestKind
from jujubetiller.tickets._service_definition import ServiceDefinition
from jujubetiller.tickets._site_policy import SitePolicy
from jujubetiller.tickets._ticket import Ticket
from jujubetiller.tickets._ticket_state import TicketState

__all__ = [
    "MAX_TICKET_BYTES",
    "MAX_TICKET_OBJECTS",
    "MergeResult",
    "ObjectEntry",
    "RequestKind",
    "ServiceDefinition",
    "SitePolicy",
    "Ticket",
    "TicketState",
    "parse_ticket",
]
