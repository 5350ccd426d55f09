"""The identity of the node at the other end of a stream."""

import attrs


@attrs.frozen
class PeerIdentity:
    """The identity and state that a node sends in HELLO."""

    instance: str
    service: str
    zone: str

    host: str
    peer_port: int
    """Port on which the node accepts streams; a stream's remote address may differ."""

    incarnation: int
    boot_id: str
    key_epoch: int
    draining: bool
    state_digest: bytes
