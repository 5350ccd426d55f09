"""Lookup of the owners of execution keys, and sealing of keys by them."""

from collections.abc import Callable

import attrs
import result

from jujubetiller import calls, codes, keys, routing
from jujubetiller.node import _node_parts

_Code = codes.ResultCode

# Refusals with these codes neither run nor seal the key: they may come from another
# process that took over the owner's address, or from a node that is not ready.
_KEY_UNCHANGED_CODES = frozenset((_Code.WRONG_SERVICE, _Code.BAD_KEY, _Code.NOT_READY))


def is_from_owner(answer: calls.CallAnswer) -> bool:
    """Return whether the answer states what the owner of the call's key decided."""
    return bool(answer.hops) and answer.code not in _KEY_UNCHANGED_CODES


def find_owner(
    parts: _node_parts.NodeParts, key: keys.ExecutionKey
) -> result.Result[routing.RoutableInstance, codes.ResultCode]:
    """Return the instance whose current process owns ``key``.

    The error is KEY_NOT_MINE if the instance now runs another process.
    """
    pool = parts.router.pools.get(key.service)
    stats = None if pool is None else pool.stats.get(key.owner_instance)
    if stats is None:
        return result.Err(codes.ResultCode.NO_INSTANCE)
    if stats.instance.boot_id not in ("", key.owner_boot_id):
        return result.Err(codes.ResultCode.KEY_NOT_MINE)
    return stats.ok_result


def seal_key(
    parts: _node_parts.NodeParts,
    key: keys.ExecutionKey,
    key_text: str,
    on_result: Callable[[bool], None],
) -> None:
    """Have the owner of ``key`` seal it; call ``on_result`` once.

    The result is whether the owner confirmed that the key never ran and never
    will.
    """
    if parts.executions.owns(key):
        on_result(parts.executions.seal(key))
        return
    owner = find_owner(parts, key)
    if isinstance(owner, result.Err):
        on_result(False)
        return
    parts.pool.send_seal(
        owner.ok_value.address,
        key_text,
        parts.settings.keys.seal_timeout_ms,
        on_result,
    )


def refuse_after_seal(
    parts: _node_parts.NodeParts,
    key: keys.ExecutionKey | None,
    key_text: str,
    answer: calls.CallAnswer,
    on_answer: Callable[[calls.CallAnswer], None],
) -> None:
    """Refuse a call under a caller's key once the key is sealed.

    If the owner does not confirm the seal, another call under the same key may
    run, so the outcome changes from not run to unknown.
    """
    if key is None or answer.outcome is not codes.Outcome.NOT_RUN:
        on_answer(answer)
        return

    def sealed(confirmed: bool) -> None:
        if confirmed:
            on_answer(answer)
        else:
            # The answer may be shared with other calls, so a copy is changed.
            on_answer(
                attrs.evolve(
                    answer,
                    outcome=codes.Outcome.UNKNOWN,
                    code=_Code.KEY_NOT_SEALED,
                    key=key_text,
                )
            )

    seal_key(parts, key, key_text, sealed)
