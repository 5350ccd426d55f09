"""Guards against reads over connections that no longer answer."""

import result

from jujubetiller import edge, http_reads, settings
from standins import mesh_site, store
from standins.fleet import _process_clock, mesh_fleet, network

ADDRESS = settings.Address("127.0.8.1", 8309)
PATH = "/kv-range?prefix="
TIMEOUT_MS = 500.0
MAX_BYTES = 100_000


def test_idle_connections_are_not_used_after_another_one_went_silent() -> None:
    """Guards against a second read that is lost on a connection as silent as the first.

    Connections mostly go silent together, and new ones work.
    """
    place = network.Network()
    server, client = place.start("store", "1"), place.start("reader", "2")
    factory = edge.PipelinedFactory(
        server,
        _process_clock.ProcessClock(server),
        mesh_site.StoreSite(server, store.PublishedStore()),
        mesh_fleet.MAX_BODY_BYTES,
        mesh_fleet.MAX_CONNECTIONS,
    )
    server.listenTCP(ADDRESS.port, factory, interface=ADDRESS.host)
    reader = http_reads.HttpReader(client, ADDRESS)
    answers: list[http_reads.HttpAnswer | http_reads.ReadProblem] = []

    def read() -> None:
        reading = reader.get(PATH, TIMEOUT_MS, MAX_BYTES)
        reading.addCallback(
            lambda answer: answers.append(
                answer.ok_value if isinstance(answer, result.Ok) else answer.err_value
            )
        )

    for _ in range(2):
        read()
    place.run_for(100.0)
    place.silence("reader", "store")
    read()
    place.run_for(TIMEOUT_MS + 100.0)
    assert answers[2:] == [http_reads.ReadProblem.SILENT]
    read()
    place.run_for(100.0)
    assert isinstance(answers[3], http_reads.HttpAnswer)
