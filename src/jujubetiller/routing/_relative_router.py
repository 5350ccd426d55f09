"""A router that places calls by relative slowness."""

from jujubetiller.routing import _relative_pool, _router


class RelativeRouter(_router.Router):
    """Chooses instances by how slow they are for one kind of call."""

    pool_class = _relative_pool.RelativePool
