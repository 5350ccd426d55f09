"""An instance as the directory lists it."""

import attrs

from jujubetiller import published, routing


@attrs.define
class ListedInstance:
    """An instance and the revision of its last report."""

    instance: published.PublishedInstance
    revision: published.Revision
    is_replaced: bool = False
    """Whether a newer instance is listed at the same address."""

    routable: routing.RoutableInstance | None = None
    """The form that the router uses, once it was made."""


def is_newer(listed: ListedInstance, other: ListedInstance) -> bool:
    """Return whether ``listed`` is newer than ``other`` at the same address."""
    return (listed.instance.started_unix_ms, listed.revision) > (
        other.instance.started_unix_ms,
        other.revision,
    )


def is_older(
    report: published.PublishedInstance, known: published.PublishedInstance
) -> bool:
    """Return whether ``report`` was made before ``known``."""
    if not report.started_unix_ms or not known.started_unix_ms:
        return False
    return (report.started_unix_ms, report.sequence) < (
        known.started_unix_ms,
        known.sequence,
    )


def make_routable(listed: ListedInstance, peer_port: int) -> routing.RoutableInstance:
    """Return the form of a listed instance that the router uses."""
    if listed.routable is not None:
        return listed.routable
    instance = listed.instance
    listed.routable = routing.RoutableInstance(
        instance=instance.instance,
        service=instance.service,
        zone=instance.zone,
        host=instance.address.host,
        peer_port=peer_port,
        incarnation=instance.started_unix_ms,
        boot_id=str(instance.started_unix_ms),
        leaving=instance.draining or listed.is_replaced,
        slow_start_ms=instance.slow_start_ms,
        slots=instance.slots,
    )
    return listed.routable
