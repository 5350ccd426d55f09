"""The protocol factory of the admin listener."""

from twisted.web import server

from jujubetiller.admin import _admin_resource, _admin_view

# Operators' tools send requests rarely, so idle connections are closed early.
IDLE_SECONDS = 30


def make_admin_site(view: _admin_view.AdminView) -> server.Site:
    """Return the protocol factory for the listener on the admin address."""
    return server.Site(_admin_resource.AdminResource(view), timeout=IDLE_SECONDS)
