"""Owners of execution keys and how to reach them."""

from collections.abc import Callable

import attrs
import result

from jujubetiller import calls, codes, keys, routing
from jujubetiller.node import _node_parts

_Code = codes.ResultCode

# Another process, which took over the owner's address, may refuse a key so. A node
# that is not ready leaves the key as it is.
_UNSETTLED_CODES = frozenset((_Code.WRONG_SERVICE, _Code.BAD_KEY, _Code.NOT_READY))


def is_owners_word(answer: calls.CallAnswer) -> bool:
    """Return whether the owner of the call's key gave the answer."""
    return bool(answer.hops) and answer.code not in _UNSETTLED_CODES


def find_owner(
    parts: _node_parts.NodeParts, key: keys.ExecutionKey
) -> result.Result[routing.RoutableInstance, codes.ResultCode]:
    """Return the instance whose present process owns ``key``.

    KEY_NOT_MINE tells that the instance now runs another process.
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
    """Ask the owner of ``key`` to seal it; the result comes once."""
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
    """End a call under a caller's key that this node refuses.

    Without the owner's seal, another copy of the key may run, so "not run"
    becomes unknown.
    """
    if key is None or answer.outcome is not codes.Outcome.NOT_RUN:
        on_answer(answer)
        return

    def sealed(confirmed: bool) -> None:
        if confirmed:
            on_answer(answer)
        else:
            # The answer may be shared, so a copy is changed.
            on_answer(
                attrs.evolve(
                    answer,
                    outcome=codes.Outcome.UNKNOWN,
                    code=_Code.KEY_NOT_SEALED,
                    key=key_text,
                )
            )

    seal_key(parts, key, key_text, sealed)
