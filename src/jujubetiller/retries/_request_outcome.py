"""The outcome of a request over all of its attempts."""

import attrs

from jujubetiller import calls, codes


class RequestOutcome:
    """Keeps a request from ending as not run when an attempt may have run.

    >>> outcome = RequestOutcome()
    >>> lost = calls.make_refusal(codes.ResultCode.STREAM_LOST)
    >>> full = calls.make_refusal(codes.ResultCode.QUEUE_FULL)
    >>> outcome.add(lost).code.name, outcome.add(full).code.name
    ('STREAM_LOST', 'STREAM_LOST')
    """

    __slots__ = ("other_key_code", "unknown_code")

    def __init__(
        self,
        unknown_code: codes.ResultCode | None = None,
        is_other_key: bool = False,
    ) -> None:
        """Start a request; ``unknown_code`` is that of an earlier client attempt.

        ``is_other_key`` says that this attempt was not sent under the execution
        key of the request.
        """
        self.unknown_code = unknown_code
        self.other_key_code = unknown_code if is_other_key else None

    def clear_unknown(self) -> None:
        """Clear unknown attempts under the key, whose owner reported the outcome."""
        self.unknown_code = self.other_key_code

    def add(self, answer: calls.CallAnswer) -> calls.CallAnswer:
        """Record the answer of an attempt and return the request's answer so far."""
        if answer.outcome is codes.Outcome.UNKNOWN:
            if self.unknown_code is None:
                self.unknown_code = answer.code
            return answer
        if answer.outcome is codes.Outcome.ANSWERED or self.unknown_code is None:
            return answer
        return attrs.evolve(
            answer, outcome=codes.Outcome.UNKNOWN, code=self.unknown_code
        )
