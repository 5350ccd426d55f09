"""The choice of the hops that a record keeps when not all of them fit."""

from collections.abc import Sequence

from jujubetiller.records import _hop_record


def choose_hops(
    hops: Sequence[_hop_record.HopRecord], max_hops: int
) -> tuple[_hop_record.HopRecord, ...]:
    """Return at most ``max_hops`` of ``hops``, in their order.

    Hops with a code other than 0 are kept first, starting with the deepest because
    the refusal originated there; then come the slowest hops.
    """
    if len(hops) <= max_hops:
        return tuple(hops)

    def importance(index: int) -> tuple[bool, float]:
        hop = hops[index]
        refused = hop.code != 0
        return refused, hop.depth if refused else hop.wait_ms + hop.run_ms

    kept = sorted(range(len(hops)), key=importance, reverse=True)[:max_hops]
    return tuple(hops[index] for index in sorted(kept))
