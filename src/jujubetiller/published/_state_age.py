"""How old the knowledge of the store is."""

import math

from jujubetiller import clock


class StateAge:
    """The latest time as of which the node provably knows the state of the store.

    The age counts from the read at the store, however many nodes have passed on what
    was read. The clock must count suspensions of the VM and must not be cached.

    >>> boot_clock = clock.ManualClock()
    >>> age = StateAge(boot_clock)
    >>> age.age_ms()
    inf
    >>> boot_clock.advance(1_000.0)
    >>> age.record_answer(sent_ms=900.0, age_ms=300.0)
    >>> age.age_ms()
    400.0
    """

    def __init__(self, boot_clock: clock.Clock) -> None:
        self.clock = boot_clock
        self.known_as_of_ms = -math.inf

    def now_ms(self) -> float:
        """Return the present reading of the clock that ages are counted on."""
        return self.clock.now_ms()

    def record_read(self, as_of_ms: float) -> None:
        """Record a read that returned the state of the store as of ``as_of_ms``."""
        self.known_as_of_ms = max(self.known_as_of_ms, as_of_ms)

    def record_answer(self, sent_ms: float, age_ms: float) -> None:
        """Record an answer of a peer whose knowledge was ``age_ms`` old.

        The age counts from ``sent_ms``, when this node sent its question: how long the
        answer was on its way is not known.
        """
        self.record_read(sent_ms - age_ms)

    def age_ms(self) -> float:
        """Return the age in milliseconds, infinite as long as nothing was recorded."""
        return self.clock.now_ms() - self.known_as_of_ms
