"""How a coordinator answers questions."""

import math
from collections.abc import Callable

from jujubetiller.quotas import (
    _borrowing,
    _coordinator,
    _messages,
    _node_quota,
    _quota_counters,
    _share_holder,
)


class QuestionHandler:
    """Grants tokens to nodes of the own zone and to coordinators of others."""

    def __init__(
        self,
        coordinator: _coordinator.Coordinator,
        own_share: _share_holder.ShareHolder,
        borrowing: _borrowing.Borrowing,
        node: _node_quota.NodeQuota,
        counters: _quota_counters.QuotaCounters,
    ) -> None:
        self.coordinator = coordinator
        self.own_share = own_share
        self.borrowing = borrowing
        self.node = node
        self.counters = counters

    def receive(
        self,
        question: _messages.Question,
        reply: Callable[[_messages.Answer], None],
    ) -> None:
        """Answer a question; one of the own zone may wait for other zones."""
        self.own_share.accept(question)
        # Tokens granted before a limit is lowered must not seem to be from after it.
        version = self.node.version
        grants: list[_messages.Grant] = []
        missing: dict[str, float] = {}
        for demand in question.demands:
            if question.is_from_zone:
                grant = self.coordinator.grant_to_zone(demand)
                self.counters.granted_to_zones += grant.amount
            else:
                grant = self._grant_to_node(demand)
                extra = max(0.0, grant.amount - demand.needed)
                self.coordinator.record_demand(demand.team, demand.needed + extra)
                if grant.amount < demand.needed:
                    missing[demand.team] = demand.needed - grant.amount
            if grant.amount:
                grants.append(grant)

        def finish() -> None:
            for team, amount in missing.items():
                grants.append(self._grant_to_node(_messages.Demand(team, amount, 0.0)))
            reply(
                _messages.Answer(
                    question.number,
                    self.own_share.own.boot,
                    self.coordinator.clock.now_ms(),
                    version,
                    tuple(grants),
                )
            )

        if not missing:
            finish()
            return
        lacking = {
            team: math.ceil(amount) - self.coordinator.available_tokens(team)
            for team, amount in missing.items()
        }
        self.borrowing.borrow(lacking, finish)

    def _grant_to_node(self, demand: _messages.Demand) -> _messages.Grant:
        grant = self.coordinator.grant_to_node(demand)
        self.counters.granted_to_nodes += grant.amount
        return grant
