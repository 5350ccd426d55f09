"""The operators' interface of the configuration service, also used by tests."""

import json
from typing import Any

import result
from twisted.web import server

from jujubetiller import codes, schema
from standins import http
from standins.platform import _faults, _value_site, _value_store


class OperatorSite(http.Handler):
    """Publishes values, sets faults and returns the counters.

    ``POST /tickets``, ``PUT /vms/<zone>`` and ``PUT /values/<key>`` store the JSON
    document in the body; ``PUT /faults`` expects the fields of ``Faults``; ``GET
    /counters`` returns the number of reads, the watches and the highest read rate.
    """

    def __init__(
        self, site: _value_site.ValueSite, factory: _value_site.ValueFactory
    ) -> None:
        super().__init__()
        self.site = site
        self.factory = factory
        self.table = {
            ("POST", "tickets"): self.publish_ticket,
            ("PUT", "vms"): self.publish_instances,
            ("PUT", "values"): self.put_value,
            ("PUT", "faults"): self.set_faults,
            ("GET", "counters"): self.show_counters,
        }

    def handle(self, request: server.Request) -> None:
        """Dispatch by method and first path segment."""
        first, _, rest = request.path.decode().lstrip("/").partition("/")
        action = self.table.get((request.method.decode(), first))
        if action is None:
            http.answer_json(request, 404, {"error": "no such operation"})
            return
        body = http.read_body(request)
        if len(body) > _value_store.MAX_VALUE_BYTES:
            http.answer_json(request, 413, {"error": "values have at most 1 MB"})
            return
        document = json.loads(body) if body else None
        http.answer_json(request, 200, action(rest, document))

    def publish_ticket(self, rest: str, document: Any) -> Any:
        """Store a ticket and the updated index."""
        return {"version": self.site.store.publish_ticket(document)}

    def publish_instances(self, rest: str, document: Any) -> Any:
        """Store the list of VMs of a zone."""
        return {"version": self.site.store.publish_instances(rest, document)}

    def put_value(self, rest: str, document: Any) -> Any:
        """Store any value without validation."""
        return {"version": self.site.store.put(rest, document)}

    def set_faults(self, rest: str, document: Any) -> Any:
        """Replace the injected fault."""
        checked = schema.structure(
            document, _faults.Faults, codes.ResultCode.BAD_REQUEST
        )
        if isinstance(checked, result.Err):
            raise ValueError(str(checked.err_value))
        self.site.set_faults(checked.ok_value)
        if checked.ok_value.mode == "down":
            self.factory.abort_all()
        return {"mode": checked.ok_value.mode}

    def show_counters(self, rest: str, document: Any) -> Any:
        """Return the counters."""
        return self.site.counters()
