"""The commands by which tests control the stand-ins."""

import json
from collections.abc import Callable, Mapping
from typing import Any

from jujubetiller import edge
from standins.mesh_site import (
    _crash_plan,
    _instance_site,
    _stand_in_site,
    _store_site,
)


class OperatorSite(_stand_in_site.StandInSite):
    """Executes commands with JSON bodies: ``/put``, ``/remove``, ``/down``, ``/fault``.

    ``/restore`` returns the store to the state before its last changes, as many as
    ``changes`` says; it answers the revision then.
    ``/crash_on`` sets the paths of the requests that crash their instances, and
    ``/crashes`` returns the paths and the instances of the crashes so far.
    ``/notices`` sets what an instance says about itself in its answers. ``/runs``
    returns the number of runs of each request, ``/load`` that of each instance, and
    ``/limits`` the arrivals of each instance while it named a rate limit.
    """

    def __init__(
        self,
        store_site: _store_site.StoreSite,
        instances: Mapping[str, _instance_site.InstanceSite],
        crash_plan: _crash_plan.CrashPlan,
    ) -> None:
        self.store_site = store_site
        self.crash_plan = crash_plan
        self.instances = instances
        self.commands: dict[str, Callable[[Any], Any]] = {
            "/put": self.put,
            "/remove": self.remove,
            "/down": self.set_down,
            "/restore": self.restore_store,
            "/fault": self.set_fault,
            "/crash_on": self.set_crash_paths,
            "/crashes": self.list_crashes,
            "/notices": self.set_notices,
            "/runs": self.list_runs,
            "/limits": self.list_limits,
            "/load": self.count_runs,
        }

    def handle(
        self,
        message: edge.EdgeMessage,
        reply: Callable[[edge.EdgeReply], None],
    ) -> Callable[[], None]:
        """Execute the command that the path names."""
        command = self.commands.get(message.path)
        if command is None:
            reply(edge.EdgeReply(404, [], b""))
        else:
            document = json.loads(message.body) if message.body else None
            body = json.dumps(command(document)).encode()
            reply(edge.EdgeReply(200, [], body))
        return edge.do_nothing

    def put(self, document: Any) -> None:
        """Write an item to the store."""
        value = json.dumps(document["value"]).encode()
        self.store_site.store.put(document["key"], value)
        self.store_site.notify_watches()

    def remove(self, document: Any) -> None:
        """Remove an item from the store."""
        self.store_site.store.remove(document["key"])
        self.store_site.notify_watches()

    def set_down(self, document: Any) -> None:
        """Make the store refuse all requests, or serve them again."""
        self.store_site.down = document["down"]

    def restore_store(self, document: Any) -> dict[str, int]:
        """Lose the last changes of the store; watches that wait are cut."""
        published_store = self.store_site.store
        published_store.restore(max(1, published_store.revision - document["changes"]))
        self.store_site.cut_watches()
        return {"revision": published_store.revision, "epoch": published_store.epoch}

    def set_fault(self, document: Any) -> None:
        """Set the injected fault of an instance."""
        self.instances[document["instance"]].fault = document["fault"]

    def set_crash_paths(self, document: Any) -> None:
        """Set the paths of the requests that crash the instances which run them."""
        self.crash_plan.paths = set(document["paths"])

    def list_crashes(self, document: Any) -> list[list[str]]:
        """Return the path and the instance of each crash, in order."""
        return [[run.path, run.instance] for run in self.crash_plan.crashes]

    def set_notices(self, document: Any) -> None:
        """Set what an instance tells in its answers; what is not named stays."""
        site = self.instances[document["instance"]]
        site.is_leaving = document.get("leaving", site.is_leaving)
        if "rate_limit" in document:
            site.set_rate_limit(document["rate_limit"])

    def list_limits(self, document: Any) -> list[dict[str, Any]]:
        """Return each period with a rate limit, with the arrivals in it."""
        return [
            {"instance": name, **period}
            for name, site in self.instances.items()
            for period in site.list_limited_periods()
        ]

    def count_runs(self, document: Any) -> dict[str, int]:
        """Return the number of runs of each instance."""
        return {name: site.runs.total() for name, site in self.instances.items()}

    def list_runs(self, document: Any) -> dict[str, int]:
        """Return the number of runs of each request."""
        runs: dict[str, int] = {}
        for instance in self.instances.values():
            for request, number in instance.runs.items():
                runs[request] = runs.get(request, 0) + number
        return runs
