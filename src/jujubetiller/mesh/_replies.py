"""Rendering of answers as replies to clients."""

import random

from jujubetiller import calls, codes, edge
from jujubetiller.mesh import _retry_pause

_NOT_RUN = codes.Outcome.NOT_RUN

RATE_LIMITED_PAUSE_FACTOR = 2.0
"""A rate limit lasts longer than a full queue, so clients are told to wait longer."""

REFUSED_FOR_CRASHES_PAUSE_MS = 30_000.0
"""A request that crashes targets is refused for at least this long."""

_TEXT_TYPE = ("Content-Type", "text/plain; charset=utf-8")
_RETRY_STATUS = 503
_RETRY_STATUSES = (_RETRY_STATUS, 429)


def render_answer(
    answer: calls.CallAnswer,
    random_source: random.Random,
    pause: _retry_pause.RetryPause = _retry_pause.DEFAULT,
) -> edge.EdgeReply:
    """Return the reply to a client for ``answer``; see ``render_refusal``."""
    if answer.outcome is codes.Outcome.ANSWERED:
        return edge.EdgeReply(answer.status, list(answer.headers), answer.body)
    return render_refusal(answer.code, "", random_source, pause)


def render_refusal(
    code: codes.ResultCode,
    detail: str,
    random_source: random.Random,
    pause: _retry_pause.RetryPause = _retry_pause.DEFAULT,
) -> edge.EdgeReply:
    """Return the node's own reply to a request that has no response of a target.

    Every refusal of a request that did not run and may be sent again has the same
    status, with a ``Retry-After`` header. A refusal for a quota keeps its own status;
    its client is told when tokens are expected.
    """
    entry = codes.describe(code)
    status = entry.http_status
    if entry.outcome is _NOT_RUN and status >= 499:
        status = _RETRY_STATUS
    headers = [_TEXT_TYPE, ("Jujubetiller-Code", str(code.value))]
    if code is codes.ResultCode.UNKNOWN_API_KEY:
        headers.append(("WWW-Authenticate", "Bearer"))
    if status in _RETRY_STATUSES and entry.outcome is _NOT_RUN:
        pause_ms = pause.draw_ms(random_source)
        if code is codes.ResultCode.RATE_LIMITED:
            pause_ms *= RATE_LIMITED_PAUSE_FACTOR
        if code is codes.ResultCode.REQUEST_CRASHES_TARGETS:
            pause_ms += REFUSED_FOR_CRASHES_PAUSE_MS
        headers.append(("Retry-After", f"{pause_ms / 1000.0:.2f}"))
    text = f"{code.value} {code.name}: {detail or entry.meaning}\n"
    return edge.EdgeReply(status, headers, text.encode())
