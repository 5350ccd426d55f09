"""The choice of connections that hold memory and make no progress."""

from collections.abc import Iterable

from jujubetiller.memory import _holder

STALLED_MS = 2_000.0
"""A client that sends nothing for this long makes no progress. Only the
clients of a node above its first threshold must keep to it."""

UNTAKEN_MS = 10_000.0
"""The same for a client that takes nothing of an answer. Its operating system reports
free space only in large steps: on loopback, a reader at 50 KB/s took nothing for 2.3 s
with the default receive buffer, and for 7 s with one set to 400,000 bytes."""

HELD_BACK_MS = 4_000.0
"""A connection that is not read for this long is closed: its client would wait for its
whole deadline, and its memory is needed to read others to their end."""


def list_stalled(
    holders: Iterable[_holder.Holder], now_ms: float
) -> list[_holder.Holder]:
    """Return the holders without progress, the oldest progress first."""
    stalled = [holder for holder in holders if _is_stalled(holder, now_ms)]
    return sorted(stalled, key=lambda holder: holder.progress_ms)


def _is_stalled(holder: _holder.Holder, now_ms: float) -> bool:
    owner = holder.owner
    if owner is None:
        return False
    if owner.is_held_back():
        return holder.progress_ms < now_ms - HELD_BACK_MS
    is_answered = holder.held[_holder.Kind.ANSWERS] > 0
    stalled_ms = UNTAKEN_MS if is_answered else STALLED_MS
    return owner.waits_for_client() and holder.progress_ms < now_ms - stalled_ms
