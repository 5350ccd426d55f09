"""Start-up, operation and shutdown of a local site."""

import json
import time
from collections.abc import Callable
from typing import Any, Self

from standins.site import _child, _http_json, _site_plan

SIGNING_KEY = "signing key of the local site"
READY_TIMEOUT_S = 12.0
POLL_S = 0.05


class LocalSite:
    """Runs a platform, targets and nodes as processes on loopback."""

    def __init__(self, plan: _site_plan.SitePlan) -> None:
        self.plan = plan
        self.platform: _child.Child | None = None
        self.targets: dict[str, _child.Child] = {}
        self.nodes: dict[str, _child.Child] = {}
        self.states: dict[str, str] = {}

    def __enter__(self) -> Self:
        try:
            self.start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *reason: object) -> None:
        self.close()

    def start(self) -> None:
        """Start all processes and wait until all nodes are ready."""
        self.platform = _child.Child(
            "standins.platform", [json.dumps(self.plan.platform)]
        )
        for plan in self.plan.instances:
            self.targets[plan.instance] = self.start_target(plan)
        self.platform.read_hello()
        for ticket in self.plan.tickets:
            self.publish_ticket(ticket)
        for child in self.targets.values():
            child.read_hello()
        if not self.plan.with_nodes:
            self.set_direct_routes()
            return
        for plan in self.plan.instances:
            self.nodes[plan.instance] = self.start_node(plan)
        for plan in self.plan.instances:
            self.nodes[plan.instance].read_hello()
            self.states[plan.instance] = "live"
            self.set_route(plan.instance)
        self.publish_instances()
        self.wait_ready()

    def start_target(self, plan: _site_plan.InstancePlan) -> _child.Child:
        """Start the target of an instance."""
        document = {"instance": plan.instance, "service": plan.service, **plan.target}
        return _child.Child("standins.target", [json.dumps(document)])

    def start_node(self, plan: _site_plan.InstancePlan) -> _child.Child:
        """Start the node of an instance; its target must be running."""
        return _child.Child(
            "jujubetiller",
            ["node", "--settings", "-"],
            json.dumps(self.make_settings(plan)),
        )

    def make_settings(self, plan: _site_plan.InstancePlan) -> dict[str, Any]:
        """Return the settings of the node of an instance."""
        assert self.platform is not None
        any_port = {"host": "127.0.0.1", "port": 0}
        settings: dict[str, Any] = {
            "instance": plan.instance,
            "service": plan.service,
            "zone": plan.zone,
            "listen": dict.fromkeys(("edge", "service", "peer", "admin"), any_port),
            "target": {"address": self.target_address(plan.instance)},
            "platform": {
                "address": {
                    "host": "127.0.0.1",
                    "port": self.platform.hello["values"],
                }
            },
            "records": {"signing_keys": [SIGNING_KEY]},
        }
        for group, fields in plan.node.items():
            settings[group] = {**settings.get(group, {}), **fields}
        return settings

    def target_address(self, instance: str) -> dict[str, Any]:
        """Return the address of a target."""
        return {"host": "127.0.0.1", "port": self.targets[instance].hello["http"]}

    def set_route(self, instance: str) -> None:
        """Route the nested calls of a target to its own node."""
        service_address = self.nodes[instance].hello["service"]
        self.put_target(instance, "_routes", {"*": [service_address]})

    def set_direct_routes(self) -> None:
        """Route the nested calls of all targets directly to other targets."""
        routes: dict[str, list[Any]] = {}
        for plan in self.plan.instances:
            routes.setdefault(plan.service, []).append(
                self.target_address(plan.instance)
            )
        for plan in self.plan.instances:
            self.put_target(plan.instance, "_routes", routes)

    def put_target(self, instance: str, name: str, document: Any) -> Any:
        """Change the behaviour of a running target."""
        port = self.targets[instance].hello["http"]
        url = f"http://127.0.0.1:{port}/{name}"
        return _http_json.request_json("PUT", url, document)

    def target_runs(self, instance: str) -> Any:
        """Return the run counters of a target."""
        port = self.targets[instance].hello["http"]
        return _http_json.request_json("GET", f"http://127.0.0.1:{port}/_runs")

    def operator(self, method: str, path: str, document: Any = None) -> Any:
        """Send a request to the operators' interface of the platform."""
        assert self.platform is not None
        url = f"http://127.0.0.1:{self.platform.hello['operator']}/{path}"
        return _http_json.request_json(method, url, document)

    def publish_ticket(self, ticket: dict[str, Any]) -> None:
        """Publish a change ticket."""
        self.operator("POST", "tickets", ticket)

    def publish_instances(self) -> None:
        """Publish the list of VMs of each zone."""
        for zone in self.plan.zones():
            listed = [
                {
                    "instance": plan.instance,
                    "service": plan.service,
                    "zone": zone,
                    "host": "127.0.0.1",
                    "peer_port": self.nodes[plan.instance].hello["peer"]["port"],
                    "state": self.states[plan.instance],
                }
                for plan in self.plan.instances
                if plan.zone == zone and plan.instance in self.states
            ]
            self.operator("PUT", f"vms/{zone}", {"instances": listed})

    def admin(self, instance: str, path: str) -> Any:
        """Return a page of a node's admin listener."""
        address = self.nodes[instance].hello["admin"]
        url = f"http://{address['host']}:{address['port']}/{path}"
        return _http_json.request_json("GET", url)

    def edge_address(self, instance: str) -> dict[str, Any]:
        """Return the address on which a node accepts clients."""
        address: dict[str, Any] = self.nodes[instance].hello["edge"]
        return address

    def wait_ready(self) -> None:
        """Wait until every node is ready and knows all live instances and tickets."""
        highest = max((ticket["number"] for ticket in self.plan.tickets), default=0)
        expected = len(self.states)
        deadline = time.monotonic() + READY_TIMEOUT_S
        waiting = set(self.states)
        while waiting:
            for instance in tuple(waiting):
                view = self.admin(instance, "view")
                live = [one for one in view["instances"] if one["state"] == "live"]
                if (
                    view["ready"]
                    and view["ticket_number"] >= highest
                    and len(live) >= expected
                ):
                    waiting.discard(instance)
            if waiting and time.monotonic() > deadline:
                raise RuntimeError(
                    f"nodes not ready in time: {sorted(waiting)}, "
                    f"{view}, {self.nodes[instance].read_errors()[-2000:]}"
                )
            time.sleep(POLL_S)

    def wait_until(self, reached: Callable[[], bool], what: str) -> None:
        """Poll until ``reached`` returns true; on timeout fail with ``what``."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while not reached():
            if time.monotonic() > deadline:
                raise RuntimeError(what)
            time.sleep(POLL_S)

    def close(self) -> None:
        """Kill all processes."""
        children = [*self.nodes.values(), *self.targets.values()]
        if self.platform is not None:
            children.append(self.platform)
        for child in children:
            child.close()
