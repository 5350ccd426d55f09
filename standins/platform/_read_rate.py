"""Rate limit for reads."""

from jujubetiller import clock

BUCKET_MS = 100
BUCKETS = 10


class ReadRate:
    """Limits reads per second with a sliding window of 100 ms buckets.

    >>> rate = ReadRate(clock.ManualClock(), 2)
    >>> [rate.acquire() for _ in range(3)]
    [True, True, False]
    """

    def __init__(self, time_source: clock.Clock, reads_per_second: int) -> None:
        self.time_source = time_source
        self.reads_per_second = reads_per_second
        self.counts = [0] * BUCKETS
        self.bucket = 0
        self.highest = 0
        self.refused = 0

    def current(self) -> int:
        """Return the number of reads in the last second."""
        bucket = int(self.time_source.now_ms() // BUCKET_MS)
        for elapsed in range(max(self.bucket + 1, bucket - BUCKETS + 1), bucket + 1):
            self.counts[elapsed % BUCKETS] = 0
        self.bucket = bucket
        return sum(self.counts)

    def acquire(self) -> bool:
        """Count one read if the limit allows it; return whether it does."""
        current = self.current()
        if current >= self.reads_per_second:
            self.refused += 1
            return False
        self.counts[self.bucket % BUCKETS] += 1
        self.highest = max(self.highest, current + 1)
        return True
