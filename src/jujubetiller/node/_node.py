"""A node and its listeners."""

import random
from typing import Any

import logbook
from twisted.internet import defer, interfaces

from jujubetiller import (
    admin,
    clock,
    control,
    crashes,
    edge,
    membership,
    settings,
    streams,
)
from jujubetiller.node import (
    _build_parts,
    _control_loop,
    _counter_groups,
    _drain,
    _edge_site,
    _node_admin_view,
    _node_gauge_source,
    _peer_messages,
    _platform_reading,
    _service_peers,
    _service_site,
)

_LOG = logbook.Logger("jujubetiller.node")


class Node:
    """Serves clients, peers, its own target and operators.

    ``start`` opens the listeners; ``drain`` lets the requests in flight end and
    then closes the node.
    """

    def __init__(
        self,
        reactor: Any,
        time_source: clock.Clock,
        unix_clock: clock.Clock,
        random_source: random.Random,
        node_settings: settings.NodeSettings,
    ) -> None:
        self.reactor = reactor
        self.settings = node_settings
        self.parts = _build_parts.build_parts(
            reactor, time_source, unix_clock, random_source, node_settings
        )
        self.ports: dict[str, interfaces.IListeningPort] = {}
        self.exchange: control.ControlExchange | None = None
        self.crash_exchange: crashes.CrashExchange | None = None
        self.control_loop: _control_loop.ControlLoop | None = None
        self.platform_reading: _platform_reading.PlatformReading | None = None
        self.edges: dict[str, edge.EdgeFactory] = {}
        self.draining: _drain.Drain | None = None

    def start(self) -> None:
        """Open the listeners and start the control exchange.

        Raises ``twisted.internet.error.CannotListenError`` if an address is in
        use.
        """
        parts = self.parts
        peer_messages = _peer_messages.PeerMessages(parts)
        parts.pool = streams.StreamPool(
            self.reactor,
            parts.clock,
            self.settings.streams,
            self.describe_self,
            peer_messages,
        )
        self.ports["peer"] = parts.pool.listen(self.settings.listen.peer)
        self.exchange = self.build_exchange(self.ports["peer"])
        self.control_loop = _control_loop.ControlLoop(parts, self.exchange)
        peer_messages.control_loop = self.control_loop
        self.crash_exchange = crashes.CrashExchange(
            self.reactor,
            parts.clock,
            parts.random,
            self.settings.crashes,
            parts.containment,
            _service_peers.ServicePeers(parts, self.exchange.table),
        )
        peer_messages.crash_exchange = self.crash_exchange
        self.listen("service", _service_site.ServiceSite(parts))
        self.listen("edge", _edge_site.EdgeSite(parts))
        self.listen_admin()
        parts.metrics.create_gauges(_node_gauge_source.NodeGaugeSource(parts))
        self.platform_reading = _platform_reading.PlatformReading(
            parts, self.exchange, self.control_loop
        )
        parts.metrics.export(_counter_groups.make_groups(parts))
        parts.metrics.export(
            _counter_groups.make_control_groups(
                self.exchange, self.control_loop, self.platform_reading, self.edges
            )
        )
        self.control_loop.start()
        self.crash_exchange.start()
        self.platform_reading.start()
        _LOG.info(
            "node {} of service {} in zone {} started",
            self.settings.instance,
            self.settings.service,
            self.settings.zone,
        )

    def build_exchange(
        self, peer_port: interfaces.IListeningPort
    ) -> control.ControlExchange:
        """Return the control exchange, which announces the bound peer port."""
        parts = self.parts
        table = membership.MembershipTable(parts.clock, self.settings.control)
        own_record = membership.InstanceRecord(
            instance=self.settings.instance,
            service=self.settings.service,
            zone=self.settings.zone,
            host=self.settings.listen.peer.host,
            peer_port=peer_port.getHost().port,  # type: ignore[attr-defined]
            boot_id=parts.state.boot_id,
        )
        return control.ControlExchange(
            parts.clock,
            parts.random,
            self.settings.control,
            parts.tickets,
            table,
            own_record,
            parts.freshness,
        )

    def describe_self(self) -> streams.PeerIdentity:
        """Return the identity that this node sends to its peers."""
        assert self.exchange is not None
        record = self.exchange.announcer.record
        return streams.PeerIdentity(
            instance=record.instance,
            service=record.service,
            zone=record.zone,
            host=record.host,
            peer_port=record.peer_port,
            incarnation=record.incarnation,
            boot_id=record.boot_id,
            key_epoch=self.parts.executions.epochs.current(),
            draining=record.draining,
            state_digest=self.parts.tickets.digest(),
        )

    def listen(self, name: str, handler: edge.EdgeHandler) -> None:
        """Open an HTTP listener with a limit on its connections."""
        factory = edge.EdgeFactory(
            self.reactor,
            self.parts.clock,
            handler,
            self.settings.streams.max_body_bytes,
            self.settings.limits.max_connections,
        )
        self.edges[name] = factory
        address = getattr(self.settings.listen, name)
        self.ports[name] = self.reactor.listenTCP(
            address.port, factory, interface=address.host
        )

    def listen_admin(self) -> None:
        """Open the listener for operators."""
        assert self.exchange is not None
        view = _node_admin_view.NodeAdminView(self.parts, self.exchange)
        address = self.settings.listen.admin
        self.ports["admin"] = self.reactor.listenTCP(
            address.port, admin.make_admin_site(view), interface=address.host
        )

    def bound_addresses(self) -> dict[str, settings.Address]:
        """Return the addresses of the listeners, with the ports actually bound."""
        return {
            name: settings.Address(port.getHost().host, port.getHost().port)  # type: ignore[attr-defined]
            for name, port in self.ports.items()
        }

    def drain(self) -> "defer.Deferred[int]":
        """Shut down once no call is in flight; later calls return the same result.

        The result is the number of calls that were still in flight when the drain
        time was over.
        """
        if self.draining is None:
            assert self.control_loop is not None
            assert self.platform_reading is not None
            self.draining = _drain.Drain(
                self.parts,
                self.ports,
                self.edges,
                self.control_loop,
                self.platform_reading,
            )
            self.draining.start()
        return self.draining.finished
