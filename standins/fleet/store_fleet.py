"""Mesh nodes that read a stand-in store over the in-memory network."""

import random

import attrs

from jujubetiller import edge, mesh, platform, published, settings
from standins import mesh_site, store
from standins.fleet import _process, _process_clock, mesh_fleet

STORE_ADDRESS = settings.Address("127.0.8.1", 8309)
STORE_NAME = STORE_ZONE = "store"


class StoreFleet(mesh_fleet.MeshFleet):
    """Runs mesh nodes that read a store, which can be restored from a copy."""

    store: store.PublishedStore
    store_site: mesh_site.StoreSite

    def start_store(self) -> None:
        """Start the store in a process and a zone of its own."""
        process = self.network.start(STORE_NAME, STORE_ZONE)
        self.store = store.PublishedStore()
        self.store_site = mesh_site.StoreSite(process, self.store)
        factory = edge.PipelinedFactory(
            process,
            _process_clock.ProcessClock(process),
            self.store_site,
            mesh_fleet.MAX_BODY_BYTES,
            mesh_fleet.MAX_CONNECTIONS,
        )
        process.listenTCP(STORE_ADDRESS.port, factory, interface=STORE_ADDRESS.host)

    def make_source(
        self, name: str, process: _process.Process, state: published.PublishedState
    ) -> published.ItemSource:
        """Return a reader of the store."""
        return platform.StoreReader(
            process,
            _process_clock.ProcessClock(process),
            random.Random(self.starts),
            attrs.evolve(self.load_settings(name).store, address=STORE_ADDRESS),
            state,
        )

    def feed_source(self, name: str) -> None:
        """Do nothing: the node reads the store."""

    def publish(self, key: str, value: bytes | None) -> None:
        """Write or remove an item in the store."""
        if value is None:
            self.store.remove(key)
        else:
            self.store.put(key, value)
        self.store_site.notify_watches()

    def publish_configuration(self, version: int, service: str) -> None:
        """Publish a configuration that routes all requests to ``service``."""
        self.publish("op/config", mesh_fleet.make_configuration(version, service))

    def restore(self, revision: int, down_ms: float = 0.0) -> None:
        """Bring the store back as of ``revision``, down for ``down_ms`` before."""
        self.store_site.down = down_ms > 0
        if down_ms:
            self.store_site.cut_watches()
            self.network.run_for(down_ms)
        self.store_site.down = False
        self.store.restore(revision)

    def cut_store(self, zone: str) -> None:
        """Cut a zone off from the store, and from nothing else."""
        self.network.cut(zone, STORE_ZONE)
        self.network.cut(STORE_ZONE, zone)

    def silence_store(self) -> None:
        """Let the open connections to the store go silent; new ones work."""
        for name in self.places:
            self.network.silence(name, STORE_NAME)

    def versions(self) -> dict[str, int]:
        """Return the version of the configuration that each node applies."""
        return {name: version_of(node) for name, node in self.nodes.items()}


def version_of(node: mesh.MeshNode) -> int:
    """Return the version of the configuration that ``node`` applies."""
    return node.parts.configuration.version
