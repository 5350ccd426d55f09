"""Settings of the listeners."""

import attrs

from jujubetiller.settings import _address


@attrs.frozen
class ListenSettings:
    """The addresses that a node listens on.

    ``edge`` receives clients' requests, ``service`` the calls of the node's own
    target, ``peer`` streams of other nodes, and ``admin`` operators' requests.
    """

    edge: _address.Address
    service: _address.Address
    peer: _address.Address
    admin: _address.Address
