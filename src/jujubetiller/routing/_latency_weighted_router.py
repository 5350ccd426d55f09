"""A router that spreads calls by relative latency."""

from jujubetiller.routing import _latency_weighted_pool, _router


class LatencyWeightedRouter(_router.Router):
    """Chooses instances by their latency, relative to the average of each kind."""

    pool_class = _latency_weighted_pool.LatencyWeightedPool
