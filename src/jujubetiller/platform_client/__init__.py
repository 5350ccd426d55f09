"""Reading and watching the platform's configuration service."""

from jujubetiller.http_reads import Backoff, ReadProblem
from jujubetiller.platform_client._listed_instance import parse_instances, parse_zones
from jujubetiller.platform_client._platform_client import PlatformClient
from jujubetiller.platform_client._platform_value import MAX_VALUE_BYTES, PlatformValue
from jujubetiller.platform_client._ticket_reader import TicketReader
from jujubetiller.platform_client._vm_list_reader import VmListReader
from jujubetiller.platform_client._watch import Watch

__all__ = [
    "MAX_VALUE_BYTES",
    "Backoff",
    "PlatformClient",
    "PlatformValue",
    "ReadProblem",
    "TicketReader",
    "VmListReader",
    "Watch",
    "parse_instances",
    "parse_zones",
]
