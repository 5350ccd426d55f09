"""Conversion between the identity of a node and its HELLO frame."""

import attrs

from jujubetiller import frames, settings
from jujubetiller.streams import _peer_identity


def make_hello(
    identity: _peer_identity.PeerIdentity,
    stream_settings: settings.StreamSettings,
    stream_id: str,
) -> frames.Hello:
    """Return the HELLO frame of the node with ``identity``."""
    return frames.Hello(
        lowest_version=frames.LOWEST_VERSION,
        highest_version=frames.HIGHEST_VERSION,
        call_window_bytes=stream_settings.call_window_bytes,
        max_frame_bytes=stream_settings.max_frame_bytes,
        max_body_bytes=stream_settings.max_body_bytes,
        stream_id=stream_id,
        **attrs.asdict(identity),
    )


def read_identity(hello: frames.Hello) -> _peer_identity.PeerIdentity:
    """Return the identity of the node that sent ``hello``."""
    names = [field.name for field in attrs.fields(_peer_identity.PeerIdentity)]
    return _peer_identity.PeerIdentity(**{name: getattr(hello, name) for name in names})
