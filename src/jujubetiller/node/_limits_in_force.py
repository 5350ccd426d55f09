"""The limits of a node that result from tickets and settings."""

from typing import Any

import attrs

from jujubetiller import limits, settings, tickets


class LimitsInForce:
    """Applies the limits from tickets and settings to the guard.

    The definition of the node's own service takes precedence over the site
    policy, and the site policy over the node's settings. Once an object is
    removed from the tickets, the source with the next precedence applies.
    """

    def __init__(
        self,
        state: tickets.TicketState,
        guard: limits.TargetGuard,
        service: str,
        own_settings: settings.LimitSettings,
    ) -> None:
        self.state = state
        self.guard = guard
        self.service = service
        self.own_settings = own_settings
        self.in_force = own_settings
        self.definition: tickets.ServiceDefinition | None = None
        self.site_policy: tickets.SitePolicy | None = None

    def apply(self) -> None:
        """Update the guard if the service definition or the site policy changed.

        The objects are compared instead of the highest ticket number, because a
        ticket may arrive after one with a higher number.
        """
        definition = self.state.services.get(self.service)
        site_policy = self.state.site_policy
        if definition is self.definition and site_policy is self.site_policy:
            return
        self.definition, self.site_policy = definition, site_policy
        self.change_guard(self.resolve())

    def resolve(self) -> settings.LimitSettings:
        """Return the node's limit settings, overridden by those of the tickets."""
        wanted = self.own_settings
        for choice in (self.site_policy, self.definition):
            if choice is not None:
                wanted = attrs.evolve(
                    wanted,
                    policy=choice.limit_policy or wanted.policy,
                    queue_order=choice.queue_order or wanted.queue_order,
                )
        if self.definition is None:
            return wanted
        bounds: dict[str, Any] = {
            "slots": self.definition.slots,
            "queue_length": self.definition.queue_length,
            "queue_wait_ms": self.definition.queue_wait_ms,
        }
        given = {name: value for name, value in bounds.items() if value is not None}
        return attrs.evolve(wanted, **given)

    def change_guard(self, wanted: settings.LimitSettings) -> None:
        """Apply ``wanted`` to the guard."""
        held, self.in_force = self.in_force, wanted
        guard = self.guard
        guard.set_queue_bounds(wanted.queue_length, wanted.queue_wait_ms)
        if wanted.queue_order != held.queue_order:
            guard.set_order(limits.build_order(wanted.queue_order))
        if wanted.policy != held.policy:
            # An adaptive policy starts from the current limit, because the target
            # is known to sustain it.
            initial = max(wanted.lowest_limit, guard.limit)
            guard.set_policy(
                limits.build_policy(
                    wanted.policy, wanted.lowest_limit, wanted.slots, initial
                )
            )
        elif wanted.slots != held.slots:
            guard.set_slots(wanted.slots)
