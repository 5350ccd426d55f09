"""The identity of one execution."""

import attrs


@attrs.frozen
class ExecutionKey:
    """Identifies an execution and the only process that may run it, its owner."""

    service: str
    kind: str

    owner_instance: str
    owner_boot_id: str
    """Distinguishes the owner from other processes of the same instance."""

    epoch: int
    """The owner's epoch; the owner drops all keys of an epoch together."""

    key_id: bytes
    """16 random bytes."""
