"""The comparison of a starting node's state with its peers."""

import functools
from collections.abc import Callable

import logbook

from jujubetiller import settings
from jujubetiller.mesh import _mesh_parts

_LOG = logbook.Logger("jujubetiller.mesh")

MAX_PEERS = 16

TIMEOUT_MS = 1_000.0


class StartComparison:
    """Keeps a node unready until it has compared its state with peers.

    A store that was restored from a copy may hold an older configuration than the one
    in force. A starting node learns the later one from any peer that it reaches.
    """

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        request_changes: Callable[[settings.Address, Callable[[object], None]], None],
    ) -> None:
        self.parts = parts
        self.request_changes = request_changes
        self.waiting: set[settings.Address] | None = None
        """Peers that have not answered; ``None`` before the comparison has begun."""

    def begin(self) -> None:
        """Ask peers for changes, once; no effect before an instance is known."""
        if self.waiting is not None or not self.parts.directory.listed:
            return
        peers = self.parts.directory.peers()
        if len(peers) > MAX_PEERS:
            peers = self.parts.random.sample(peers, MAX_PEERS)
        self.waiting = set(peers)
        self.parts.reactor.callLater(TIMEOUT_MS / 1000.0, self._complete)
        for peer in peers:
            self.request_changes(peer, functools.partial(self._end, peer))
        if not peers:
            self._complete()

    def _end(self, peer: settings.Address, answer: object) -> None:
        if self.waiting is None:
            return
        self.waiting.discard(peer)
        if not self.waiting:
            self._complete()

    def _complete(self) -> None:
        if self.parts.state.is_compared:
            return
        self.parts.state.is_compared = True
        _LOG.info(
            "state compared with peers",
            extra={
                "unanswered": len(self.waiting or ()),
                "version": self.parts.configuration.version,
            },
        )
