"""A stand-in for the platform's configuration service."""

from standins.platform._faults import Faults
from standins.platform._operator_site import OperatorSite
from standins.platform._read_rate import ReadRate
from standins.platform._value_site import ValueSite, make_value_factory
from standins.platform._value_store import StoredValue, ValueStore

__all__ = [
    "Faults",
    "OperatorSite",
    "ReadRate",
    "StoredValue",
    "ValueSite",
    "ValueStore",
    "make_value_factory",
]
