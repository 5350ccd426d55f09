"""The HTTP resource of the admin listener."""

import json
from collections.abc import Callable
from typing import Any

import attrs
from twisted.web import http, resource, server

import jujubetiller
from jujubetiller import codes
from jujubetiller.admin import _admin_view

JSON_TYPE = b"application/json"
METRICS_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
METHODS = (b"GET", b"HEAD")


@attrs.frozen
class Page:
    """One HTTP response of the listener."""

    status: int
    content_type: bytes
    body: bytes


def make_json_page(document: Any, status: int = http.OK) -> Page:
    """Return a page with ``document`` as JSON."""
    return Page(status, JSON_TYPE, json.dumps(document, indent=1).encode() + b"\n")


def make_problem_page(status: int, problem: codes.Problem) -> Page:
    """Return a page with ``problem`` as JSON."""
    return make_json_page(
        {
            "code": problem.code.value,
            "name": problem.code.name,
            "field": problem.field,
            "message": problem.message,
        },
        status,
    )


class AdminResource(resource.Resource):
    """Serves every path of the admin listener."""

    isLeaf = True

    def __init__(self, view: _admin_view.AdminView) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.view = view
        self.pages: dict[bytes, Callable[[], Page]] = {
            b"/health": self.make_health,
            b"/ready": self.make_ready,
            b"/view": lambda: make_json_page(attrs.asdict(view.node_view())),
            b"/tickets": lambda: make_json_page(attrs.asdict(view.ticket_view())),
            b"/metrics": lambda: Page(http.OK, METRICS_TYPE, view.metrics_text()),
        }

    def render(self, request: server.Request) -> bytes:
        """Return the body of the page for ``request``, empty for ``HEAD``."""
        page = self.choose_page(request)
        request.setResponseCode(page.status)
        request.setHeader(b"Content-Type", page.content_type)
        request.setHeader(b"Content-Length", str(len(page.body)).encode())
        return b"" if request.method == b"HEAD" else page.body

    def choose_page(self, request: server.Request) -> Page:
        """Return the page for ``request``, or a problem that lists what is allowed."""
        make_page = self.pages.get(request.path)
        if make_page is None:
            allowed = ", ".join(path.decode() for path in self.pages)
            return make_problem_page(
                http.NOT_FOUND,
                codes.Problem(
                    codes.ResultCode.BAD_REQUEST, "path", f"allowed are {allowed}"
                ),
            )
        if request.method not in METHODS:
            request.setHeader(b"Allow", b", ".join(METHODS))
            return make_problem_page(
                http.NOT_ALLOWED,
                codes.Problem(
                    codes.ResultCode.BAD_REQUEST, "method", "allowed are GET and HEAD"
                ),
            )
        return make_page()

    def make_health(self) -> Page:
        """Return status 200 whenever the reactor runs."""
        return make_json_page({"alive": True, "version": jujubetiller.__version__})

    def make_ready(self) -> Page:
        """Return status 200, or 503 with the code that new requests would get."""
        if self.view.is_draining():
            reason = codes.ResultCode.DRAINING
        elif not self.view.is_ready():
            reason = codes.ResultCode.NOT_READY
        else:
            return make_json_page({"ready": True})
        return make_json_page(
            {"ready": False, "code": reason.value, "name": reason.name},
            http.SERVICE_UNAVAILABLE,
        )
