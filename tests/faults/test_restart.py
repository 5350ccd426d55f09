"""A restarted node must refuse calls as not ready until it has the tickets.

It guards against a node that has not read its tickets yet and reports that a service
does not exist, an answer that clients must not retry.
"""

from standins import headers
from standins.fleet import local_fleet


def test_a_node_without_tickets_refuses_as_not_ready() -> None:
    """The refusal has the retryable code and a signed record."""
    fleet = local_fleet.Fleet()
    fleet.wait_ready()
    fleet.kill("booth-1")
    fleet.start_node("booth-1")
    marker = fleet.send("look", ("booth-1",))
    fleet.run_to_end()
    assert fleet.ends[marker]["attempts"] == ["not-run"]
    assert dict(fleet.counters["look"].codes) == {"208": 1}
    assert fleet.find_broken_promises() == []


def test_a_node_without_tickets_certifies_nothing_about_a_key() -> None:
    """A starting node must not report a key as not run that runs at its owner."""
    fleet = local_fleet.Fleet()
    fleet.wait_ready()
    key = fleet.mint_key()
    marker = fleet.send("book", ("gate-1",), key)
    fleet.network.run_for(20)
    fleet.kill("gate-1")
    fleet.start_node("gate-1")
    duplicate = fleet.send("book", ("gate-1",), key)
    fleet.run_to_end()
    assert "not-run" not in fleet.ends[duplicate]["attempts"]
    assert sum(one["by_marker"].get(marker, 0) for one in fleet.runs().values()) == 1


def test_a_used_token_certifies_nothing_about_a_key() -> None:
    """A bad retry token must not make a node report a key that ran as not run."""
    fleet = local_fleet.Fleet()
    fleet.wait_ready()
    key = fleet.mint_key()
    fleet.send("book", ("gate-1",), key)
    fleet.run_to_end()
    answers = fleet.send_raw("book", {headers.KEY: key, headers.RETRY_TOKEN: "bad"})
    assert [one.header(headers.OUTCOME) for one in answers] == ["unknown"]
    assert answers[0].header(headers.RECORD)
