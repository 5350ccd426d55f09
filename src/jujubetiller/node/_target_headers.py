"""Headers of this product between a node and its target."""

from jujubetiller import calls, clock, edge, notices, retries, target

_SHED_STATUS = 503

NOTICE_NAMES = notices.NoticeNames(
    rate_limit=edge.RATE_LIMIT_HEADER, leaving=edge.LEAVING_HEADER
)


def make_headers(
    request: calls.CallRequest,
    context: retries.CallContext,
    time_source: clock.Clock,
) -> tuple[tuple[str, str], ...]:
    """Return the caller's headers and the headers of this product for the target."""
    left_ms = int(context.deadline.left_ms(time_source))
    own: tuple[tuple[str, str], ...] = (
        (edge.CONTEXT_HEADER, context.context_id),
        (edge.DEADLINE_HEADER, str(left_ms)),
    )
    if request.key:
        own += ((edge.KEY_HEADER, request.key),)
    return request.headers + own


def is_of_target(header: tuple[str, str]) -> bool:
    """Return whether a response header is the target's own.

    A target may copy all headers of a nested call's answer. The headers of this
    product among them, such as outcome and key, describe the nested call only.
    """
    return not header[0].lower().startswith(edge.HEADER_PREFIX)


def is_shed(response: target.TargetResponse) -> bool:
    """Return whether the target shed the call, that is, reports it as not run."""
    return response.status == _SHED_STATUS and any(
        name.lower() == edge.NOT_RUN_HEADER and value == "1"
        for name, value in response.headers
    )
