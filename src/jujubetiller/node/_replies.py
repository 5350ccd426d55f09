"""Conversion of call answers to HTTP answers."""

import json

from jujubetiller import calls, codes, edge

_OUTCOME_VALUES = {outcome: outcome.value for outcome in codes.Outcome}
_CODE_VALUES = {code: str(code.value) for code in codes.ResultCode}


def render_refusal(code: codes.ResultCode, detail: str = "") -> edge.EdgeReply:
    """Return the HTTP answer for ``code``, with a JSON body that explains it."""
    entry = codes.CODE_TABLE[code]
    body = {
        "code": code.value,
        "name": code.name,
        "outcome": entry.outcome.value,
        "meaning": entry.meaning,
    }
    if detail:
        body["detail"] = detail
    return edge.EdgeReply(
        status=entry.http_status,
        headers=[
            ("Content-Type", "application/json"),
            ("Jujubetiller-Code", _CODE_VALUES[code]),
            ("Jujubetiller-Outcome", _OUTCOME_VALUES[entry.outcome]),
        ],
        body=json.dumps(body).encode() + b"\n",
    )


def render_answer(answer: calls.CallAnswer) -> edge.EdgeReply:
    """Return the HTTP answer for ``answer``."""
    if answer.outcome is not codes.Outcome.ANSWERED:
        reply = render_refusal(answer.code)
    else:
        reply = edge.EdgeReply(
            status=answer.status,
            headers=[
                *answer.headers,
                ("Jujubetiller-Code", _CODE_VALUES[answer.code]),
                ("Jujubetiller-Outcome", _OUTCOME_VALUES[answer.outcome]),
            ],
            body=answer.body,
        )
    # A key that did not run is sealed, so it can't be used for another attempt.
    if answer.key and answer.outcome is not codes.Outcome.NOT_RUN:
        reply.headers.append(("Jujubetiller-Key", answer.key))
    return reply
