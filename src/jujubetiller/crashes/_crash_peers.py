"""The interface to the other nodes that can run the same requests."""

import abc
from collections.abc import Callable
from typing import Protocol

from jujubetiller import calls, settings, streams


class PoolHolder(Protocol):
    """The components of a node, whose pool is set when it starts."""

    pool: streams.StreamPool


class CrashPeers(abc.ABC):
    """The other nodes beside instances of the node's own service."""

    def __init__(self, pool_holder: PoolHolder) -> None:
        self.pool_holder = pool_holder

    @abc.abstractmethod
    def list_addresses(self) -> list[settings.Address]:
        """Return the addresses of the nodes that are known now."""

    def send_call(
        self,
        address: settings.Address,
        request: calls.CallRequest,
        deadline: calls.Deadline,
        on_answer: Callable[[calls.CallAnswer], None],
    ) -> None:
        """Send a call to one of them; ``on_answer`` is called once with its end."""
        self.pool_holder.pool.send_call(address, request, deadline, on_answer)
