"""The owner's decision on a call that carries a key."""

import attrs

from jujubetiller import calls
from jujubetiller.keys import _states


@attrs.frozen
class Begin:
    """What to do with a call that carries a key."""

    state: _states.BeginState

    answer: calls.CallAnswer | None = None
    """The recorded answer, for ``REPLAY``."""
