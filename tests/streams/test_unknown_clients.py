"""Guards against clients that are no nodes and occupy the listener for peers."""

import struct

from jujubetiller.streams import _peer_stream, _stream_listener
from tests.streams import memory_network, nodes

MAX_UNIDENTIFIED = _stream_listener.MAX_UNIDENTIFIED


def connect(server: nodes.Node) -> memory_network.MemoryTransport:
    """Return the server's end of a connection that sends nothing."""
    transport = memory_network.MemoryTransport()
    stream = server.pool.listener.buildProtocol(None)
    assert stream is not None
    transport.protocol = stream
    stream.makeConnection(transport)  # type: ignore[arg-type]
    return transport


def test_the_oldest_connection_without_hello_is_closed_for_a_new_one() -> None:
    _, _, server = nodes.make_pair()
    connections = [connect(server) for _ in range(3 * MAX_UNIDENTIFIED)]
    open_ones = [not connection.is_lost for connection in connections]
    assert open_ones == [False] * 2 * MAX_UNIDENTIFIED + [True] * MAX_UNIDENTIFIED
    assert len(server.pool.listener.streams) == MAX_UNIDENTIFIED
    refusals = server.pool.statistics().refusals
    assert refusals["stream_replaced_without_hello"] == 2 * MAX_UNIDENTIFIED


def test_peers_keep_their_streams_and_others_can_connect() -> None:
    reactor, caller, server = nodes.connect_pair(max_streams=MAX_UNIDENTIFIED + 2)
    for _ in range(3 * MAX_UNIDENTIFIED):
        connect(server)
    assert not reactor.links[0][0].is_lost
    other = nodes.Node(reactor, "other")
    for node, name in ((caller, "known"), (other, "new")):
        node.call(name, key=name)
    reactor.run_until_idle()
    assert sorted(str(request.key) for request in server.handler.requests) == [
        "known",
        "new",
    ]


def test_the_first_frame_of_a_connection_is_short() -> None:
    _, _, server = nodes.make_pair()
    connection = connect(server)
    connection.protocol.dataReceived(
        struct.pack(">I", _peer_stream.MAX_HELLO_BYTES + 1)
    )
    assert connection.is_closing or connection.is_lost
    assert server.pool.statistics().refusals["bad_frame"] == 1
