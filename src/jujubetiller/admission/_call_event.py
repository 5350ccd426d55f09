"""A nested call and the requests that it may come from."""

import attrs


@attrs.define
class CallEvent:
    """A nested call that left, with the numbers of requests that ran by kind."""

    at_ms: float
    running: dict[str, int]
