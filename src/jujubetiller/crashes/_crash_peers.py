"""The interface to the other nodes that can run the same requests."""

import abc
from collections.abc import Callable

from jujubetiller import calls, settings


class CrashPeers(abc.ABC):
    """The other nodes beside instances of the node's own service."""

    @abc.abstractmethod
    def list_addresses(self) -> list[settings.Address]:
        """Return the addresses of the nodes that are known now."""

    @abc.abstractmethod
    def send_call(
        self,
        address: settings.Address,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        on_answer: Callable[[calls.CallAnswer], None],
    ) -> None:
        """Send a call to one of them; ``on_answer`` is called once with its end."""
