"""The ``check-ticket`` command."""

import result

from jujubetiller import tickets
from jujubetiller.command import _output


def check_ticket(file: str) -> int:
    """Check a change ticket.

    :param file: the ticket in JSON, or - for standard input
    """
    content = _output.read_file(file)
    if isinstance(content, result.Err):
        return _output.report(content.err_value)
    parsed = tickets.parse_ticket(content.ok_value)
    if isinstance(parsed, result.Err):
        return _output.report(parsed.err_value)
    ticket = parsed.ok_value
    print(f"valid: ticket {ticket.number} by {ticket.author}")
    for name, entry in sorted(ticket.objects.items()):
        print(f"  {'sets' if entry.parsed is not None else 'removes'} {name}")
    return _output.OK_STATUS
