"""Sending of large bodies in several DATA frames."""


class _Body:
    __slots__ = ("body", "credit_bytes", "position")

    def __init__(self, body: bytes, credit_bytes: int) -> None:
        self.body = body
        self.position = 0
        self.credit_bytes = credit_bytes


class BodySender:
    """Splits bodies into parts and sends the parts of different calls round-robin.

    A body without credit is left out until the peer grants more.
    """

    def __init__(self, part_bytes: int, window_bytes: int) -> None:
        self.part_bytes = part_bytes
        self.window_bytes = window_bytes
        self._ready: dict[int, _Body] = {}
        self._waiting: dict[int, _Body] = {}

    def __len__(self) -> int:
        return len(self._ready) + len(self._waiting)

    def count_bytes(self) -> int:
        """Return the bytes that are still to be sent."""
        return sum(
            len(body.body) - body.position
            for bodies in (self._ready, self._waiting)
            for body in bodies.values()
        )

    def add(self, call_id: int, body: bytes) -> None:
        """Queue the body of ``call_id``; it must not be empty."""
        self._ready[call_id] = _Body(body, self.window_bytes)

    def drop(self, call_id: int) -> None:
        """Discard the unsent rest of the body of ``call_id``."""
        self._ready.pop(call_id, None)
        self._waiting.pop(call_id, None)

    def add_credit(self, call_id: int, amount_bytes: int) -> None:
        """Add ``amount_bytes`` of credit; ignored once the body is sent."""
        body = self._waiting.pop(call_id, None)
        if body is not None:
            self._ready[call_id] = body
        else:
            body = self._ready.get(call_id)
        if body is not None:
            body.credit_bytes += amount_bytes

    def has_ready(self) -> bool:
        """Return whether a part can be sent now."""
        return bool(self._ready)

    def next_part(self) -> tuple[int, bytes]:
        """Return the call id and the bytes of the next part."""
        call_id = next(iter(self._ready))
        body = self._ready.pop(call_id)
        size = min(self.part_bytes, body.credit_bytes)
        part = body.body[body.position : body.position + size]
        body.position += len(part)
        body.credit_bytes -= len(part)
        if body.position < len(body.body):
            rest = self._ready if body.credit_bytes > 0 else self._waiting
            rest[call_id] = body
        return call_id, part
