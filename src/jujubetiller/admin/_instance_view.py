"""One instance as a node sees it."""

import attrs


@attrs.frozen
class InstanceView:
    """The data that a node has about an instance."""

    instance: str
    service: str
    zone: str

    state: str
    """``live``, ``draining``, ``leaving`` or ``unreachable``."""
