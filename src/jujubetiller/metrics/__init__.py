"""Counters, gauges and histograms of a node."""

from jujubetiller.metrics._counter_group import CounterGroup
from jujubetiller.metrics._gauge_source import GaugeSource
from jujubetiller.metrics._node_metrics import NodeMetrics

__all__ = ["CounterGroup", "GaugeSource", "NodeMetrics"]
