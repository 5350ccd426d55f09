"""A question that has not been answered yet."""

from collections.abc import Callable

from jujubetiller.quotas import _messages

OnAnswer = Callable[[_messages.Answer | None, float], None]
"""Called with the answer, None if there is none, and when the question was sent."""


class PendingQuestion:
    """Accepts one answer to a question, or its absence."""

    def __init__(self, number: int, on_answer: OnAnswer) -> None:
        self.number = number
        self.on_answer: OnAnswer | None = on_answer
        """None once the question is over."""

    def resolve(self, answer: _messages.Answer | None) -> OnAnswer | None:
        """End the question, and return what is to be called with ``answer``.

        The result is None if the question is over or the answer belongs to another.
        """
        if answer is not None and answer.number != self.number:
            return None
        on_answer, self.on_answer = self.on_answer, None
        return on_answer
