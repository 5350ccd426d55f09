"""A router that places calls by relative slowness."""

from jujubetiller.routing import _latency_weighted_pool, _router


class LatencyWeightedRouter(_router.Router):
    """Chooses instances by how slow they are for one kind of call."""

    pool_class = _latency_weighted_pool.LatencyWeightedPool
