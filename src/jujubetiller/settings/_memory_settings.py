"""Settings of the memory that a node may use."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class MemorySettings:
    """The memory of the VM that is the node's."""

    limit_mb: int = _fields.whole_number(300, 64, 1_000_000)
    """Resident memory of the whole process, in MB."""
