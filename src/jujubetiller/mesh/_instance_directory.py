"""The instances that a node may send requests to."""

from collections.abc import Callable

import logbook
import result

from jujubetiller import published, routing, settings
from jujubetiller.mesh import _listed_instance

_Listed = _listed_instance.ListedInstance

MAX_REMOVED = 4_096

MAX_LOGGED = 16
"""Changes that are logged one by one; of more at once, only the number is logged."""

_LOG = logbook.Logger("jujubetiller.mesh")


class InstanceDirectory:
    """Tracks the published instances and updates the router.

    Entries of services that ``is_service`` does not know are not used until a
    configuration names their service.

    A removal is held back until ``is_settled`` returns True for its revision: entries
    expire during a store outage although their instances still run, and they are
    published again soon after it.
    """

    def __init__(
        self,
        decoder: published.ItemDecoder,
        router: routing.Router,
        own_address: settings.Address,
        peer_port: int,
        is_settled: Callable[[published.Revision], bool],
        is_service: Callable[[str], bool],
    ) -> None:
        self.decoder = decoder
        self.router = router
        self.own_address = own_address
        self.peer_port = peer_port
        self.is_settled = is_settled
        self.is_service = is_service
        self.listed: dict[str, _Listed] = {}
        self.pending_removals: dict[str, published.Revision] = {}
        """Revisions of the removals that are not applied yet, by instance."""

        self.removed: dict[str, published.PublishedInstance] = {}
        """Last reports of removed instances, used to ignore older reports."""

        self.rejected = 0
        self.own: published.PublishedInstance | None = None
        """The instance of this node, if it is listed."""

        self.service_count = 0
        """Number of services that have instances."""

        self.node_count = 0
        """Number of VMs that have an instance, each with its node."""

        self.refreshes = 0
        """Increases when the list, or what of it is used, may have changed."""

    def apply(self, items: list[published.PublishedItem]) -> None:
        """Apply the items that describe instances."""
        names = {item.key: self.decoder.instance_name(item.key) for item in items}
        count_before = len(self.listed)
        has_many = len(items) > MAX_LOGGED
        for item in items:
            name = names[item.key]
            if name is not None:
                self._apply_item(name, item, is_logged=not has_many)
        if not any(names.values()):
            return
        if has_many:
            _LOG.info(
                "instances listed",
                extra={"before": count_before, "now": len(self.listed)},
            )
        self._apply_pending_removals()
        self.refresh()

    def set_own_address(self, address: settings.Address) -> None:
        """Change the address by which the node's own instance is identified."""
        self.own_address = address
        self.refresh()

    def apply_removals(self) -> None:
        """Apply the pending removals that are final."""
        if self._apply_pending_removals():
            self.refresh()

    def _apply_pending_removals(self) -> bool:
        """Apply the pending removals that are final; return whether there was one."""
        settled = [
            name
            for name, revision in self.pending_removals.items()
            if self.is_settled(revision)
        ]
        for name in settled:
            del self.pending_removals[name]
            self._remove(name)
        return bool(settled)

    def _remove(self, name: str) -> None:
        listed = self.listed.pop(name, None)
        if listed is None:
            return
        _LOG.info("instance removed", extra={"instance": name})
        self.removed.pop(name, None)
        self.removed[name] = listed.instance
        if len(self.removed) > MAX_REMOVED:
            del self.removed[next(iter(self.removed))]

    def is_own_leaving(self) -> bool:
        """Return whether the own instance is said to leave, or is not listed."""
        return self.own is None or self.own.draining

    def is_leaving(self, name: str) -> bool:
        """Return whether the instance ``name`` is leaving, replaced or gone.

        The result is False for an instance that was never listed.
        """
        listed = self.listed.get(name)
        if listed is None:
            return name in self.removed
        return listed.instance.draining or listed.is_replaced

    def peers(self) -> list[settings.Address]:
        """Return the addresses of the other nodes, in a fixed order."""
        hosts = {
            listed.instance.address.host
            for listed in self.usable()
            if listed.instance.address != self.own_address
        }
        return [settings.Address(host, self.peer_port) for host in sorted(hosts)]

    def hosts_by_zone(self, with_leaving: bool) -> dict[str, set[str]]:
        """Return the hosts of the nodes, this one included, by their zones.

        Without ``with_leaving``, those beside instances that are leaving are left out.
        """
        hosts: dict[str, set[str]] = {}
        for listed in self.usable():
            instance = listed.instance
            if with_leaving or not instance.draining:
                hosts.setdefault(instance.zone, set()).add(instance.address.host)
        return hosts

    def find_listed_hosts(self, own_host: str) -> tuple[frozenset[str], bool]:
        """Return all hosts that are listed, and whether ``own_host`` is among them.

        The hosts include those of unknown services, and those whose removal is not
        final. The second result is false if all entries of ``own_host`` were removed,
        final or not: other nodes may already know that the removal is final.
        """
        hosts = frozenset(
            listed.instance.address.host for listed in self.listed.values()
        )
        is_listed = any(
            listed.instance.address.host == own_host
            and name not in self.pending_removals
            for name, listed in self.listed.items()
        )
        return hosts, is_listed

    def service_peers(self, service: str) -> list[settings.Address]:
        """Return the addresses of the other nodes beside instances of ``service``."""
        hosts = {
            listed.instance.address.host
            for listed in self.listed.values()
            if listed.instance.service == service
            and listed.instance.address != self.own_address
        }
        return [settings.Address(host, self.peer_port) for host in sorted(hosts)]

    def _apply_item(
        self, name: str, item: published.PublishedItem, is_logged: bool
    ) -> None:
        if item.value is None:
            self.pending_removals[name] = item.revision
            return
        decoded = self.decoder.decode_instance(item)
        if isinstance(decoded, result.Err):
            # An entry that another writer has published names no instance to use.
            self.rejected += 1
            self.listed.pop(name, None)
            _LOG.warning("instance rejected: {}", decoded.err_value)
            return
        known = self.listed.get(name)
        last = self.removed.get(name) if known is None else known.instance
        if last is not None and _listed_instance.is_older(decoded.ok_value, last):
            _LOG.info("older report ignored", extra={"instance": name})
            return
        self.pending_removals.pop(name, None)
        is_changed = (
            known is None or known.instance.draining != decoded.ok_value.draining
        )
        if is_logged and is_changed:
            _LOG.info(
                "instance listed",
                extra={
                    "instance": name,
                    "service": decoded.ok_value.service,
                    "zone": decoded.ok_value.zone,
                    "draining": decoded.ok_value.draining,
                    "revision": str(item.revision),
                },
            )
        self.listed[name] = _Listed(decoded.ok_value, item.revision)

    def _mark_replaced(self, usable: list[_Listed]) -> None:
        """Mark all instances at an address but the newest as replaced."""
        newest: dict[settings.Address, _Listed] = {}
        for listed in usable:
            address = listed.instance.address
            other = newest.get(address)
            if other is None or _listed_instance.is_newer(listed, other):
                newest[address] = listed
        for listed in usable:
            is_replaced = newest[listed.instance.address] is not listed
            if is_replaced != listed.is_replaced:
                listed.is_replaced = is_replaced
                listed.routable = None

    def usable(self) -> list[_Listed]:
        """Return the entries whose service is in the configuration."""
        return [
            listed
            for listed in self.listed.values()
            if self.is_service(listed.instance.service)
        ]

    def refresh(self) -> None:
        """Update the own instance, the service count and the router from the list."""
        self.refreshes += 1
        usable = self.usable()
        self._mark_replaced(usable)
        self.own = None
        for listed in usable:
            if listed.instance.address == self.own_address and not listed.is_replaced:
                self.own = listed.instance
        self.node_count = len({listed.instance.address.host for listed in usable})
        self.service_count = len({listed.instance.service for listed in usable})
        self.router.update_instances(
            _listed_instance.make_routable(listed, self.peer_port) for listed in usable
        )
