"""The encoding of an HTTP answer."""

import re

from twisted.web import http

from jujubetiller.edge import _edge_reply

# Copied because ``twisted.web.http`` checks for deprecated names at run time, which
# makes each access to an attribute of the module slow.
_REASONS = {
    status: reason.decode("latin-1") for status, reason in http.RESPONSES.items()
}
_NO_BODY_CODES = frozenset(http.NO_BODY_CODES)
_LINE_BREAKS = re.compile(r"[\r\n]+")


def encode_reply(
    reply: _edge_reply.EdgeReply, persistent: bool, head_only: bool = False
) -> bytes:
    """Return the bytes of an answer."""
    head = encode_head(reply, persistent, head_only)
    return head if head_only or not has_body(reply) else head + reply.body


def has_body(reply: _edge_reply.EdgeReply) -> bool:
    """Return whether the status of an answer allows a body."""
    return reply.status not in _NO_BODY_CODES


def encode_head(
    reply: _edge_reply.EdgeReply, persistent: bool, head_only: bool = False
) -> bytes:
    """Return the bytes of an answer before its body."""
    reason = _REASONS.get(reply.status, "")
    lines = [f"HTTP/1.1 {reply.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in reply.headers]
    if not persistent:
        lines.append("Connection: close")
    # For an answer to HEAD without a body, the length that GET would have is unknown.
    if has_body(reply) and (reply.body or not head_only):
        lines.append(f"Content-Length: {len(reply.body)}")
    text = "\r\n".join(lines) + "\r\n\r\n"
    line_count = len(lines) + 1
    if text.count("\r") != line_count or text.count("\n") != line_count:
        # A line break in a header name or value would add a header or split the answer.
        lines = [_LINE_BREAKS.sub(" ", line) for line in lines]
        text = "\r\n".join(lines) + "\r\n\r\n"
    return text.encode("latin-1", "replace")
