"""Guards against admission by cost that is off, or refuses calls of the own target."""

import pytest

from jujubetiller import codes, limits, settings
from standins.mesh_site import documents
from tests.mesh import local_mesh

STAMP = ("Jujubetiller-Server-Stamp", "s")
BY_COST = settings.FeatureSettings(admission="cost")


def answer_with_reports(
    node: local_mesh.LocalMesh, factor: float, is_nested: bool = False
) -> None:
    """Answer the latest call with costs and a load factor of the booth."""
    call = node.pool.calls[-1]
    answer = local_mesh.calls.make_refusal(codes.ResultCode.ANSWERED)
    answer.status = 200
    answer.costs = (("booth", 80.0),)
    answer.loads = (("booth", factor),)
    answer.is_nested = is_nested
    call.reply(answer)


def send_many(
    node: local_mesh.LocalMesh, number: int, is_nested: bool = False
) -> list[float]:
    """Send requests, answer those that are sent; return the Retry-After of others."""
    for _ in range(number):
        sent = len(node.pool.calls)
        node.send_request()
        if len(node.pool.calls) > sent:
            answer_with_reports(node, 0.5, is_nested)
        node.reactor.advance(0.05)
    replies = [dict(reply.headers) for reply in node.replies if reply.status == 503]
    assert all(headers["Jujubetiller-Code"] == "103" for headers in replies)
    return [float(headers["Retry-After"]) for headers in replies]


def test_requests_are_refused_by_cost_and_told_when_to_return() -> None:
    node = local_mesh.LocalMesh(BY_COST)
    pauses = send_many(node, 200)
    assert len(pauses) > 100
    # The pause grows with the refused share, and is spread.
    assert max(pauses) > 2.0
    assert max(pauses) - min(pauses) > 1.0
    assert node.parts.admission is not None
    assert node.parts.admission.entry.refused == len(pauses)
    metrics_text = node.parts.metrics.render().decode()
    assert "jujubetiller_admission_total" in metrics_text


def test_calls_of_the_own_target_are_not_refused() -> None:
    node = local_mesh.LocalMesh(BY_COST)
    assert send_many(node, 100, is_nested=True) == []
    assert node.parts.admission is not None
    assert node.parts.admission.estimator.calls["book"].count > 0.0


def test_reports_change_nothing_where_they_are_not_asked_for() -> None:
    node = local_mesh.LocalMesh()
    assert node.parts.admission is None
    assert send_many(node, 100) == []
    node.receive_call()
    node.target.requests[-1].answer(200, STAMP)
    assert node.answers[-1].costs == ()
    assert node.answers[-1].loads == ()


@pytest.mark.parametrize("status", [200, 503])
def test_answers_report_costs_and_the_load_of_the_target(status: int) -> None:
    node = local_mesh.LocalMesh(BY_COST)
    for _ in range(40):
        for _ in range(60):
            node.receive_call()
        node.reactor.advance(0.1)
        running = tuple(node.target.requests)
        node.target.requests.clear()
        for request in running:
            request.answer(status, STAMP)
    # Costs are not learned from requests that fail.
    costs = [dict(answer.costs).get("ledger", 0.0) for answer in node.answers]
    assert (max(costs) > 0.0) is (status == 200)
    assert dict(node.answers[-1].loads)["ledger"] < 1.0


@pytest.mark.parametrize(
    ("features", "changes"), [(settings.FeatureSettings(), 1), (BY_COST, 0)]
)
def test_teams_that_come_into_force_leave_the_queue_of_admission_by_cost(
    features: settings.FeatureSettings,
    changes: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against nested calls that wait behind client requests of their class."""
    node = local_mesh.LocalMesh(features)
    orders: list[limits.QueueOrder] = []
    monkeypatch.setattr(node.parts.guard, "set_order", orders.append)
    rows = [{"name": "kitchen", "api_keys": ["key"], "priority": 0}]
    value = documents.encode(documents.CONFIGURATION, version="0000000d", tenants=rows)
    node.publish("op/config", value)
    assert len(orders) == changes
