"""The interface for sending questions and for timers."""

import abc
from collections.abc import Callable

from jujubetiller.quotas import _messages


class Transport(abc.ABC):
    """Sends questions to nodes, and calls functions later."""

    @abc.abstractmethod
    def ask(
        self,
        host: str,
        question: _messages.Question,
        answered: Callable[[_messages.Answer | None], None],
    ) -> None:
        """Send a question; ``answered`` gets None if there is no answer."""

    @abc.abstractmethod
    def call_later(
        self, delay_ms: float, function: Callable[[], None]
    ) -> Callable[[], None]:
        """Call ``function`` after ``delay_ms``; the result cancels that."""
