"""Guards against an operations page that names removed metrics or commands."""

import io
import pathlib
import re

from jujubetiller import clock, logs
from jujubetiller.command import _run
from jujubetiller.node import _counter_groups
from standins.fleet import local_fleet

PAGE = (pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md").read_text()


def test_every_metric_is_on_the_page_and_no_other() -> None:
    # A complete node, so that the counters of its components are compared too.
    node_metrics = local_fleet.Fleet().nodes["gate-1"].parts.metrics
    rate_limiter = logs.MessageRateLimiter(clock.ManualClock(), highest=1, kinds=1)
    handler = logs.JsonLinesHandler(
        logs.StreamOutput(io.StringIO()), rate_limiter, "info"
    )
    node_metrics.export([_counter_groups.make_log_group(handler)])
    exported = re.findall(
        r"^# HELP (jujubetiller_\w+)", node_metrics.render().decode(), re.MULTILINE
    )
    named = set(re.findall(r"jujubetiller_\w+", PAGE))
    assert named == {name for name in exported if not name.endswith("_created")}


def test_every_command_is_on_the_page() -> None:
    assert set(_run.COMMANDS) <= set(re.findall(r"jujubetiller ([a-z-]+)", PAGE))
