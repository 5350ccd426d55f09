"""How often the primary reader of a zone proves what it knows of the store."""

from jujubetiller import published, routes, settings
from jujubetiller.mesh import _mesh_parts, _store_reading


def find_interval_ms(
    store_settings: settings.StoreSettings, configuration: routes.Configuration | None
) -> int | None:
    """Return the longest time between two proofs, or None if nothing depends on it.

    Unknown keys are denied, and tokens of teams are generated, only by nodes with young
    knowledge.
    """
    if store_settings.proof_interval_ms is not None or configuration is None:
        return store_settings.proof_interval_ms
    return published.PROOF_INTERVAL_MS if configuration.team_table else None


class ProofInterval:
    """Applies the interval that the configuration in force needs."""

    def __init__(
        self, parts: _mesh_parts.MeshParts, reading: _store_reading.StoreReading
    ) -> None:
        self.parts = parts
        self.reading = reading

    def apply(self) -> None:
        """Set the interval for the node's own reads and for its questions."""
        interval_ms = find_interval_ms(
            self.parts.settings.store, self.parts.configuration.current
        )
        reading = self.reading
        reading.source.set_proof_interval(interval_ms)
        reading.choice.prefers_first_reader = interval_ms is not None
        reading.pacing.proof_interval_ms = interval_ms
