"""A node with its listeners."""

import functools
import random
import uuid
from collections.abc import Callable
from typing import Any

import attrs
import logbook
from twisted.internet import defer, interfaces

from jujubetiller import (
    clock,
    crashes,
    memory,
    published,
    settings,
    streams,
)
from jujubetiller.mesh import (
    _build_parts,
    _configuration_effects,
    _drain,
    _egress_site,
    _header_names,
    _http_listeners,
    _load_log,
    _memory_watch,
    _mesh_counters,
    _peer_calls,
    _peer_prober,
    _quota_exchange,
    _service_peers,
    _state_exchange,
    _state_merge,
    _status_sites,
    _store_reading,
    _store_stability,
)

_LOG = logbook.Logger("jujubetiller.mesh")

HOUSEKEEPING_INTERVAL_MS = 1_000.0

REMOVALS_INTERVAL_MS = 250.0
"""Interval of the periodic tasks while removals wait for the store to be stable."""

USED_SLOTS_SHARE = 0.95
"""Part of the own instance's slots that are used: some instances slow down when their
last slots are occupied."""

SourceFactory = Callable[[published.PublishedState], published.ItemSource]


class MeshNode:
    """Routes requests of clients and of its target, and runs calls at its target.

    ``start`` opens the listeners; ``drain`` shuts the node down after the requests
    in flight have ended.
    """

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        random_source: random.Random,
        node_settings: settings.MeshSettings,
        headers: _header_names.HeaderNames,
        decoder: published.ItemDecoder,
        make_source: SourceFactory,
        boot_clock: clock.Clock | None = None,
    ) -> None:
        self.reactor = reactor
        self.settings = node_settings
        self.boot_id = uuid.UUID(int=random_source.getrandbits(128), version=4).hex
        self.state = published.PublishedState(decoder)
        self.source = make_source(self.state)
        self.store_stability = _store_stability.StoreStability(
            time_source,
            self.state,
            self.source,
            float(
                node_settings.store.watch_wait_ms
                + node_settings.store.answer_timeout_ms
            ),
        )
        self.parts = _build_parts.build_parts(
            reactor,
            time_source,
            random_source,
            node_settings,
            headers,
            decoder,
            self.store_stability.is_settled,
            self.boot_id,
            boot_clock or clock.BootClock(),
        )
        self.source.set_state_age(self.parts.state_age)
        self.parts.prober = _peer_prober.PeerProber(self.parts)
        self.parts.metrics.export(
            _mesh_counters.make_groups(self.parts, self.state, self.source)
        )
        self.exchange = _state_exchange.StateExchange(
            self.parts,
            _state_merge.StateMerge(
                self.state, self.source, self.store_stability, self.parts.state_age
            ),
            self.own_peer_address,
        )
        self.parts.quota = _quota_exchange.QuotaExchange(
            self.parts, self.exchange, self.boot_id
        )
        self.reading = _store_reading.StoreReading(
            self.parts, self.source, self.exchange
        )
        self.parts.metrics.export([_mesh_counters.make_reading_group(self.reading)])
        self.crash_exchange = crashes.CrashExchange(
            reactor,
            time_source,
            random_source,
            node_settings.crashes,
            self.parts.containment,
            _service_peers.ServicePeers(self.parts),
        )
        self.load_log = _load_log.LoadLog(self.parts)
        self.effects = _configuration_effects.ConfigurationEffects(
            self.parts, self.reading
        )
        self.ports: dict[str, interfaces.IListeningPort] = {}
        self.peer_address = node_settings.listen.peer
        self.listeners = _http_listeners.HttpListeners(self.parts, self.ports)
        self.draining: _drain.Drain | None = None

    def start(self) -> None:
        """Open the listeners and start to read the store.

        Raises ``twisted.internet.error.CannotListenError`` when an address is in
        use.
        """
        parts = self.parts
        peer_calls = _peer_calls.PeerCalls(parts)
        peer_calls.reading = self.reading
        peer_calls.crash_exchange = self.crash_exchange
        parts.pool = streams.StreamPool(
            self.reactor,
            parts.clock,
            self.settings.streams,
            self.describe_self,
            peer_calls,
        )
        self.state.observers.append(parts.configuration.apply)
        self.state.observers.append(self.apply_instances)
        peer_port = parts.pool.listen(self.settings.listen.peer)
        self.ports["peer"] = peer_port
        bound: Any = peer_port.getHost()
        self.peer_address = settings.Address(self.settings.listen.peer.host, bound.port)
        self.listeners.open(_http_listeners.EGRESS, _egress_site.EgressSite(parts))
        for name, make_reply in (
            (_http_listeners.READINESS, _status_sites.make_readiness),
            (_http_listeners.METRICS, _status_sites.make_metrics),
        ):
            site = _status_sites.StatusSite(functools.partial(make_reply, parts))
            self.listeners.open(name, site)
        _memory_watch.MemoryWatch(parts).start()
        self.reading.start()
        self.crash_exchange.start()
        self.parts.quota.start()
        self.run_housekeeping()
        _LOG.info(
            "started",
            extra={
                "node": self.settings.node,
                "service": self.settings.service,
                "zone": self.settings.zone,
            },
        )

    def own_peer_address(self) -> settings.Address:
        """Return the address of the peer listener, with the port actually bound.

        It stays known after the listener is closed.
        """
        return self.peer_address

    def describe_self(self) -> streams.PeerIdentity:
        """Return the identity that this node sends to its peers."""
        address = self.own_peer_address()
        return streams.PeerIdentity(
            instance=self.settings.node,
            service=self.settings.service,
            zone=self.settings.zone,
            host=address.host,
            peer_port=address.port,
            incarnation=1,
            boot_id=self.boot_id,
            key_epoch=0,
            draining=self.parts.state.refuses_peers,
            state_digest=b"",
        )

    def apply_instances(self, items: list[published.PublishedItem]) -> None:
        """Apply changed instances, and set the guard's slots from the own instance."""
        self.parts.directory.apply(items)
        self.reading.apply_instances()
        self.exchange.start_comparison.begin()
        self.crash_exchange.ask_at_start()
        self.effects.apply(self.listeners.edges.get(_http_listeners.EGRESS))
        self.parts.quota.apply()
        own = self.parts.directory.own
        if own is None:
            return
        self.parts.notices.apply_list(own.instance, own.started_unix_ms)
        slots = max(1, int(own.slots * USED_SLOTS_SHARE))
        if slots != self.parts.guard.slots:
            self.parts.guard.set_slots(slots)

    def run_housekeeping(self) -> None:
        """Run the periodic tasks and schedule their next run."""
        has_removals = bool(self.parts.directory.pending_removals)
        pause_ms = REMOVALS_INTERVAL_MS if has_removals else HOUSEKEEPING_INTERVAL_MS
        # Scheduled first, so that an exception below does not end the tasks.
        self.reactor.callLater(pause_ms / 1000.0, self.run_housekeeping)
        self.effects.team_admission.apply()
        self.parts.directory.apply_removals()
        if has_removals:
            self.reading.confirm_removals()
        if self.store_stability.have_entries_expired():
            self.state.release_removals()
        self.load_log.write_if_due()
        self.listeners.watch.log_changes()
        self.parts.keys.log_age_change(self.parts.configuration.current)

    def reload(self, node_settings: settings.MeshSettings) -> None:
        """Apply changed settings; the addresses of the listeners do not change."""
        changed = [
            field.name
            for field in attrs.fields(settings.MeshSettings)
            if getattr(self.settings, field.name) != getattr(node_settings, field.name)
        ]
        _LOG.info("settings reloaded", extra={"changed": changed})
        self.settings = node_settings
        self.parts.settings = node_settings
        self.parts.keys.settings = node_settings.teams
        self.effects.proof_interval.apply()
        self.parts.target.settings = node_settings.target
        if "target" in changed:
            # Kept-alive connections lead to the old address.
            self.parts.target.close()
            self.parts.directory.set_own_address(node_settings.target.address)
        self.parts.budget.apply_settings(node_settings.repeats)
        self.listeners.apply_settings(node_settings)
        self.parts.account.limit_bytes = memory.find_limit_bytes(
            node_settings.memory.limit_mb
        )

    def drain(self) -> "defer.Deferred[int]":
        """Shut down after the requests in flight have ended, within the grace period.

        The result is the number of requests that had not ended in time. Further
        calls return the same result.
        """
        if self.draining is None:
            self.draining = _drain.Drain(
                self.parts, self.ports, self.listeners.edges, self.stop_reading
            )
            self.draining.start()
        return self.draining.finished

    def stop_reading(self) -> None:
        """Read the store no more, and ask no other node."""
        self.reading.stop()
        self.crash_exchange.stop()
        self.parts.quota.stop()
