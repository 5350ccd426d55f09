"""An admin view with fixed values, for tests of the admin listener."""

from jujubetiller import admin


class FixedView(admin.AdminView):
    """Returns fixed values."""

    def __init__(self, ready: bool = True, draining: bool = False) -> None:
        self.ready = ready
        self.draining = draining

    def node_view(self) -> admin.NodeView:
        return admin.NodeView(
            version="0.1.0",
            instance="ledger-1",
            service="ledger",
            zone="puchong",
            incarnation=2,
            boot_id="b1",
            ready=self.ready,
            draining=self.draining,
            platform_age_ms=90_000.0,
            ticket_number=42,
            ticket_conflicts=1,
            limit=admin.LimitView("gradient", 7, 25, 6, 5),
            instances=(
                admin.InstanceView("ledger-1", "ledger", "puchong", "live"),
                admin.InstanceView("ledger-2", "ledger", "puchong", "leaving"),
                admin.InstanceView("booth-1", "booth", "klang-port", "live"),
            ),
        )

    def ticket_view(self) -> admin.TicketView:
        return admin.TicketView(42, 1, "d1", {"site/policy": 42})

    def metrics_text(self) -> bytes:
        return b"jujubetiller_limit 7.0\n"

    def is_ready(self) -> bool:
        return self.ready

    def is_draining(self) -> bool:
        return self.draining
