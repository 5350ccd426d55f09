"""The way of a client's request through the checks at its entry node."""

from collections.abc import Callable

from jujubetiller import edge
from jujubetiller.mesh import (
    _entry_checks,
    _entry_request,
    _mesh_parts,
    _pending_verdict,
)

Admit = Callable[[_entry_request.EntryRequest], Callable[[], None]]
"""Starts the call of a request and returns what cancels it."""

Refuse = Callable[[_entry_request.EntryRefusal], None]


class EntryRun:
    """Takes one request through the checks; one of them may answer later."""

    def __init__(
        self,
        parts: _mesh_parts.MeshParts,
        entry: _entry_request.EntryRequest,
        admit: Admit,
        refuse: Refuse,
        checks: tuple[_entry_checks.Check, ...] = _entry_checks.CHECKS,
    ) -> None:
        self.parts = parts
        self.entry: _entry_request.EntryRequest | None = entry
        """Dropped when the checks are over, since it holds the body of the request."""

        self.ends: tuple[Admit, Refuse] | None = (admit, refuse)
        """Dropped when the checks are over: they refer to the request, which refers to
        this object."""

        self.checks = checks
        self.position = 0
        self.cancel_step: Callable[[], None] = edge.do_nothing
        """Cancels what the request waits for: a check or its call."""

    def advance(self) -> None:
        """Carry out the checks that are left, then admit or refuse the request."""
        while self.entry is not None and self.position < len(self.checks):
            verdict = self.checks[self.position](self.parts, self.entry)
            self.position += 1
            if isinstance(verdict, _pending_verdict.PendingVerdict):
                self.cancel_step = verdict.cancel
                verdict.when_resolved(self._continue)
                return
            if verdict is not None:
                self._end(verdict)
                return
        self._end(None)

    def cancel(self) -> None:
        """Cancel the request after its client has disconnected."""
        self.ends = self.entry = None
        self.cancel_step()

    def _continue(self, refusal: _entry_request.EntryRefusal | None) -> None:
        self.cancel_step = edge.do_nothing
        if refusal is not None:
            self._end(refusal)
        elif self.ends is not None:
            self.advance()

    def _end(self, refusal: _entry_request.EntryRefusal | None) -> None:
        ends, self.ends = self.ends, None
        entry, self.entry = self.entry, None
        if ends is None or entry is None:
            return
        admit, refuse = ends
        if refusal is None:
            self.cancel_step = admit(entry)
        else:
            refuse(refusal)
