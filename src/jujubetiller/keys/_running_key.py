"""A key whose call is running at the owner's target."""

from collections.abc import Callable

import attrs

from jujubetiller import calls

AnswerListener = Callable[[calls.CallAnswer], None]


@attrs.define
class RunningKey:
    """Lists the callers to notify of the answer of a running key."""

    listeners: list[AnswerListener] = attrs.field(factory=list)
