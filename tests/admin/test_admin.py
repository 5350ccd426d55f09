"""Guards against wrong states and accepted bad paths on the admin listener."""

import json
from typing import Any

import pytest
from twisted.internet import address
from twisted.internet.testing import StringTransport

from jujubetiller import admin
from tests.admin import fixed_view


def send_request(
    view: admin.AdminView, method: str, path: str
) -> tuple[int, str, bytes]:
    """Send one request and return the status, head and body of its response."""
    channel: Any = admin.make_admin_site(view).buildProtocol(
        address.IPv4Address("TCP", "127.0.0.1", 1)
    )
    transport = StringTransport()
    channel.makeConnection(transport)
    channel.dataReceived(f"{method} {path} HTTP/1.0\r\n\r\n".encode())
    head, _, body = transport.value().partition(b"\r\n\r\n")
    return int(head.split()[1]), head.decode(), body


@pytest.mark.parametrize(
    ("view", "path", "status", "fields"),
    [
        (fixed_view.FixedView(), "/health", 200, {"alive": True}),
        (fixed_view.FixedView(), "/ready", 200, {"ready": True}),
        (fixed_view.FixedView(ready=False), "/ready", 503, {"code": 208}),
        (fixed_view.FixedView(draining=True), "/ready", 503, {"code": 202}),
        (fixed_view.FixedView(draining=True), "/health", 200, {"alive": True}),
        (fixed_view.FixedView(), "/view", 200, {"ticket_conflicts": 1}),
        (fixed_view.FixedView(), "/tickets", 200, {"objects": {"site/policy": 42}}),
        (fixed_view.FixedView(), "/viewer", 404, {"code": 402, "field": "path"}),
        (fixed_view.FixedView(), "/", 404, {"name": "BAD_REQUEST"}),
    ],
)
def test_pages(
    view: admin.AdminView, path: str, status: int, fields: dict[str, Any]
) -> None:
    response_status, _, body = send_request(view, "GET", path)
    assert response_status == status
    assert fields.items() <= json.loads(body).items()


def test_other_methods_are_rejected_with_the_allowed_ones() -> None:
    status, head, body = send_request(fixed_view.FixedView(), "POST", "/view")
    assert (status, json.loads(body)["field"]) == (405, "method")
    assert "Allow: GET, HEAD" in head


def test_head_has_no_body_and_metrics_are_text() -> None:
    assert send_request(fixed_view.FixedView(), "HEAD", "/view")[2] == b""
    _, head, body = send_request(fixed_view.FixedView(), "GET", "/metrics")
    assert "text/plain; version=0.0.4" in head
    assert body == b"jujubetiller_limit 7.0\n"
