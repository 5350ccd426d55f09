"""Guards against headers of this product that a target copies into its response.

The caller would read the code and outcome of another call.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from jujubetiller import codes, target
from standins.fleet import local_fleet


def test_headers_of_a_nested_answer_do_not_reach_the_caller() -> None:
    fleet = local_fleet.Fleet()
    fleet.wait_ready()

    def answer(
        request: target.TargetRequest, on_end: Callable[[target.TargetResponse], None]
    ) -> target.TargetCall:
        headers = (("JUJUBETILLER-Code", "300"), ("X-Own", "kept"))
        response = target.TargetResponse(
            codes.ResultCode.ANSWERED, 200, headers, b"slots"
        )
        on_end(response)
        return target.TargetCall(request, on_end)

    for name in ("booth-1", "booth-2"):
        fleet.nodes[name].parts.target.send = answer  # type: ignore[method-assign]
    url = f"http://{fleet.nodes['gate-1'].bound_addresses()['edge']}/booth/slots"
    answers: list[Any] = []
    sent = defer.Deferred.fromCoroutine(fleet.client.call("GET", url, {}, b""))
    sent.addBoth(answers.append)
    assert fleet.network.run_until(lambda: bool(answers), 2_000)
    headers = answers[0].headers
    assert headers.getRawHeaders("jujubetiller-code") == ["0"]
    assert headers.getRawHeaders("x-own") == ["kept"]
