"""Settings of execution keys."""

import attrs

from jujubetiller.settings import _fields


@attrs.frozen
class KeySettings:
    """Lifetime and bounds of the owner's table of execution keys."""

    epoch_ms: int = _fields.whole_number(60_000, 100, 3_600_000)

    epochs_kept: int = _fields.whole_number(4, 1, 100)
    """Earlier epochs whose keys are still accepted."""

    keys_per_epoch: int = _fields.whole_number(50_000, 10, 10_000_000)

    answer_bytes: int = _fields.whole_number(4_194_304, 0, 1_073_741_824)
    """Bytes of recorded answers that are kept to answer duplicates of a call."""

    attached_per_key: int = _fields.whole_number(16, 0, 10_000)
    """Duplicates that may wait for the answer of the running call with their key."""

    seal_timeout_ms: int = _fields.whole_number(250, 10, 60_000)
