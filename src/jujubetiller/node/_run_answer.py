"""The answer to a call that the target has run, or may have run."""

from jujubetiller import calls, codes, pressure, records, retries, target
from jujubetiller.node import _node_parts, _target_headers


def make_answer(
    parts: _node_parts.NodeParts,
    request: calls.CallRequest,
    context: retries.CallContext,
    code: codes.ResultCode,
    hop: records.HopRecord,
    tokens_returned: int,
) -> calls.CallAnswer:
    """Return the answer without a response, with the pressure of the call's tree."""
    level = pressure.combine(parts.guard.pressure_level(), context.pressure)
    is_from_below = level is not None and level == context.pressure
    return calls.CallAnswer(
        outcome=codes.describe(code).outcome,
        code=code,
        tokens_returned=tokens_returned,
        pressure=level,
        pressure_service=context.pressure_service if is_from_below else request.service,
        hops=(hop, *context.hops),
        key=request.key,
    )


def add_response(answer: calls.CallAnswer, response: target.TargetResponse) -> None:
    """Add the target's response to the answer, without headers of this product."""
    answer.status = response.status
    answer.headers = tuple(filter(_target_headers.is_of_target, response.headers))
    answer.body = response.body
