"""Rendering of answers as replies to clients."""

import random

from jujubetiller import calls, codes, edge

_NOT_RUN = codes.Outcome.NOT_RUN

MIN_RETRY_AFTER_MS = 300.0
"""The shortest ``Retry-After`` time that a refused client is given."""

RETRY_AFTER_SPREAD_MS = 700.0
"""Retries of clients that were refused together are spread over this time."""

OVERLOADED_PAUSE_FACTOR = 4.0
"""What is added to the factor 1 of the pause when all requests of a route are refused
at their entry: the more are refused, the longer clients wait and spread out."""

RATE_LIMITED_PAUSE_FACTOR = 2.0
"""A rate limit lasts longer than a full queue, so clients are told to wait longer."""

REFUSED_FOR_CRASHES_PAUSE_MS = 30_000.0
"""A request that crashes targets is refused for at least this long."""

_TEXT_TYPE = ("Content-Type", "text/plain; charset=utf-8")
_RETRY_STATUS = 503


def render_answer(
    answer: calls.CallAnswer,
    random_source: random.Random,
    refused_share: float = 0.0,
) -> edge.EdgeReply:
    """Return the reply to a client for ``answer``.

    ``refused_share`` is the part of such requests that is refused at the entry, by
    which the ``Retry-After`` grows.
    """
    if answer.outcome is codes.Outcome.ANSWERED:
        return edge.EdgeReply(answer.status, list(answer.headers), answer.body)
    return render_refusal(answer.code, "", random_source, refused_share)


def render_refusal(
    code: codes.ResultCode,
    detail: str,
    random_source: random.Random,
    refused_share: float = 0.0,
) -> edge.EdgeReply:
    """Return the node's own reply to a request that has no response of a target.

    Every refusal of a request that did not run and may be sent again has the same
    status, with a ``Retry-After`` header.
    """
    entry = codes.describe(code)
    status = entry.http_status
    if entry.outcome is _NOT_RUN and status >= 499:
        status = _RETRY_STATUS
    headers = [_TEXT_TYPE, ("Jujubetiller-Code", str(code.value))]
    if status == _RETRY_STATUS and entry.outcome is _NOT_RUN:
        pause_ms = MIN_RETRY_AFTER_MS + RETRY_AFTER_SPREAD_MS * random_source.random()
        pause_ms *= 1.0 + OVERLOADED_PAUSE_FACTOR * refused_share
        if code is codes.ResultCode.RATE_LIMITED:
            pause_ms *= RATE_LIMITED_PAUSE_FACTOR
        if code is codes.ResultCode.REQUEST_CRASHES_TARGETS:
            pause_ms += REFUSED_FOR_CRASHES_PAUSE_MS
        headers.append(("Retry-After", f"{pause_ms / 1000.0:.2f}"))
    text = f"{code.value} {code.name}: {detail or entry.meaning}\n"
    return edge.EdgeReply(status, headers, text.encode())
