"""The state of a node that operators can read."""

import jujubetiller
from jujubetiller import admin, control, membership, routing
from jujubetiller.node import _node_parts


class NodeAdminView(admin.AdminView):
    """Provides the state of the node to the admin listener."""

    def __init__(
        self,
        parts: _node_parts.NodeParts,
        exchange: control.ControlExchange,
    ) -> None:
        self.parts = parts
        self.exchange = exchange
        self.table = exchange.table

    def node_view(self) -> admin.NodeView:
        """Return the current state of the node."""
        parts = self.parts
        own = parts.settings
        return admin.NodeView(
            version=jujubetiller.__version__,
            instance=own.instance,
            service=own.service,
            zone=own.zone,
            incarnation=self.exchange.announcer.record.incarnation,
            boot_id=parts.state.boot_id,
            ready=parts.state.ready,
            draining=parts.state.draining,
            platform_age_ms=parts.freshness.age_ms(),
            ticket_number=parts.tickets.number,
            ticket_conflicts=parts.tickets.conflict_count,
            limit=admin.LimitView(
                policy=parts.limits_in_force.in_force.policy,
                limit=parts.guard.limit,
                slots=parts.guard.slots,
                in_flight=parts.guard.in_flight,
                queue_length=parts.guard.queue_length,
            ),
            instances=tuple(
                admin.InstanceView(
                    record.instance,
                    record.service,
                    record.zone,
                    self.state_of(record),
                )
                for record in self.table.instances()
            ),
        )

    def state_of(self, record: membership.InstanceRecord) -> str:
        """Return the name of the state of an instance."""
        if record.leaving or record.listed_leaving:
            return "leaving"
        if record.draining:
            return "draining"
        stats = self.stats_of(record)
        return "live" if stats is None or stats.reachable else "unreachable"

    def stats_of(
        self, record: membership.InstanceRecord
    ) -> routing.InstanceStats | None:
        """Return the router's statistics of an instance, or ``None``."""
        pool = self.parts.router.pools.get(record.service)
        return None if pool is None else pool.stats.get(record.instance)

    def ticket_view(self) -> admin.TicketView:
        """Return the tickets in force."""
        state = self.parts.tickets
        return admin.TicketView(
            highest=state.number,
            conflicts=state.conflict_count,
            digest=state.digest().hex(),
            objects={name: entry.number for name, entry in state.entries.items()},
        )

    def metrics_text(self) -> bytes:
        """Return all metrics in the text format of Prometheus."""
        return self.parts.metrics.render()

    def is_ready(self) -> bool:
        """Return whether the node accepts new requests."""
        return self.parts.state.ready and not self.parts.state.draining

    def is_draining(self) -> bool:
        """Return whether the node is shutting down."""
        return self.parts.state.draining
