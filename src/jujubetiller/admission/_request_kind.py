"""The requests of one kind at the target."""

import attrs


@attrs.define
class RequestKind:
    """What is known of the requests of one kind at the target."""

    running: int = 0
    mean_run_ms: float = 0.0
    """Moving average of the run time, which follows changes within some requests."""

    exposure_ms: float = 0.0
    """Decayed sum of running time."""

    ends: float = 0.0
    """Decayed number of ended requests."""

    @property
    def slot_ms(self) -> float:
        """Return the mean time in which a request ran, 0 if it is unknown."""
        return self.exposure_ms / self.ends if self.ends > 0.0 else 0.0
