"""The instances that a node may send requests to."""

from collections.abc import Callable

import attrs
import logbook
import result

from jujubetiller import published, routing, settings

MOST_GONE = 4_096

_LOG = logbook.Logger("jujubetiller.mesh")


@attrs.define
class _Listed:
    """An instance and the change that last described it."""

    instance: published.PublishedInstance
    revision: int
    is_replaced: bool = False
    """Whether a later instance listens at the same address."""


class InstanceDirectory:
    """Follows the published instances and tells the router.

    Entries whose service ``is_service`` does not know name no instance to use, until
    a configuration names their service.

    While ``is_settled`` returns False, removals wait: entries lapse while the store
    is away although their instances live, and they come back soon after.
    """

    def __init__(
        self,
        decoder: published.ItemDecoder,
        router: routing.Router,
        own_address: settings.Address,
        peer_port: int,
        is_settled: Callable[[], bool],
        is_service: Callable[[str], bool],
    ) -> None:
        self.decoder = decoder
        self.router = router
        self.own_address = own_address
        self.peer_port = peer_port
        self.is_settled = is_settled
        self.is_service = is_service
        self.listed: dict[str, _Listed] = {}
        self.removals: dict[str, int] = {}
        """Revisions of the removals that wait, by instance."""

        self.gone: dict[str, published.PublishedInstance] = {}
        """The last reports of instances that were removed."""

        self.rejected = 0
        self.own: published.PublishedInstance | None = None
        """The instance beside the node, if it is listed."""

        self.service_count = 0
        """Services that have instances."""

    def take(self, items: list[published.PublishedItem]) -> None:
        """Take in changed items."""
        changed = False
        for item in items:
            name = self.decoder.instance_name(item.key)
            if name is not None:
                self._take_item(name, item)
                changed = True
        if changed:
            self._carry_out_removals()
            self.follow()

    def set_own_address(self, address: settings.Address) -> None:
        """Follow the instance beside the node to another address."""
        self.own_address = address
        self.follow()

    def apply_removals(self) -> None:
        """Carry out the removals that waited, once the store has settled."""
        if self._carry_out_removals():
            self.follow()

    def _carry_out_removals(self) -> bool:
        """Return whether there were removals that can be believed."""
        if not self.removals or not self.is_settled():
            return False
        for name in self.removals:
            self._forget(name)
            _LOG.info("instance removed", extra={"instance": name})
        self.removals = {}
        return True

    def _forget(self, name: str) -> None:
        listed = self.listed.pop(name, None)
        if listed is None:
            return
        self.gone.pop(name, None)
        self.gone[name] = listed.instance
        if len(self.gone) > MOST_GONE:
            del self.gone[next(iter(self.gone))]

    def peers(self) -> list[settings.Address]:
        """Return the addresses of the other nodes, in a fixed order."""
        hosts = {
            listed.instance.address.host
            for listed in self.usable()
            if listed.instance.address != self.own_address
        }
        return [settings.Address(host, self.peer_port) for host in sorted(hosts)]

    def _take_item(self, name: str, item: published.PublishedItem) -> None:
        if item.value is None:
            self.removals[name] = item.revision
            return
        decoded = self.decoder.decode_instance(item)
        if isinstance(decoded, result.Err):
            # An entry of another writer names no instance to use.
            self.rejected += 1
            self.listed.pop(name, None)
            _LOG.warning("instance rejected: {}", decoded.err_value)
            return
        known = self.listed.get(name)
        last = self.gone.get(name) if known is None else known.instance
        if last is not None and _is_older(decoded.ok_value, last):
            _LOG.info("older report ignored", extra={"instance": name})
            return
        self.removals.pop(name, None)
        if known is None or known.instance.draining != decoded.ok_value.draining:
            _LOG.info(
                "instance listed",
                extra={
                    "instance": name,
                    "service": decoded.ok_value.service,
                    "zone": decoded.ok_value.zone,
                    "draining": decoded.ok_value.draining,
                    "revision": item.revision,
                },
            )
        self.listed[name] = _Listed(decoded.ok_value, item.revision)

    def _find_replaced(self, usable: list[_Listed]) -> None:
        """Note which of the instances at one address is the last to have come."""
        newest: dict[settings.Address, _Listed] = {}
        for listed in usable:
            address = listed.instance.address
            other = newest.get(address)
            if other is None or _came_later(listed, other):
                newest[address] = listed
        for listed in usable:
            listed.is_replaced = newest[listed.instance.address] is not listed

    def usable(self) -> list[_Listed]:
        """Return the entries whose service the configuration names."""
        return [
            listed
            for listed in self.listed.values()
            if self.is_service(listed.instance.service)
        ]

    def follow(self) -> None:
        """Bring what is derived from the list up to date."""
        usable = self.usable()
        self._find_replaced(usable)
        self.own = None
        for listed in usable:
            if listed.instance.address == self.own_address and not listed.is_replaced:
                self.own = listed.instance
        self.service_count = len({listed.instance.service for listed in usable})
        self.router.update_instances(
            make_routable(listed, self.peer_port) for listed in usable
        )


def _came_later(listed: _Listed, other: _Listed) -> bool:
    """Return whether ``listed`` came to the address after ``other``."""
    return (listed.instance.started_unix_ms, listed.revision) > (
        other.instance.started_unix_ms,
        other.revision,
    )


def _is_older(
    report: published.PublishedInstance, known: published.PublishedInstance
) -> bool:
    """Return whether ``report`` was made before ``known``."""
    if not report.started_unix_ms or not known.started_unix_ms:
        return False
    return (report.started_unix_ms, report.sequence) < (
        known.started_unix_ms,
        known.sequence,
    )


def make_routable(listed: _Listed, peer_port: int) -> routing.RoutableInstance:
    """Return what routing must know about a listed instance."""
    instance = listed.instance
    return routing.RoutableInstance(
        instance=instance.instance,
        service=instance.service,
        zone=instance.zone,
        host=instance.address.host,
        peer_port=peer_port,
        incarnation=instance.started_unix_ms,
        boot_id=str(instance.started_unix_ms),
        leaving=instance.draining or listed.is_replaced,
        slow_start_ms=instance.slow_start_ms,
    )
