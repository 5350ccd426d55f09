"""Names of HTTP headers on the platform."""

from jujubetiller import mesh, notices

HEADERS = mesh.HeaderNames(
    request_id="jujubetiller-request-id",
    deadline_ms="jujubetiller-deadline-ms",
    server_stamp="jujubetiller-server-stamp",
    expected_instance="jujubetiller-expected-instance",
    not_run="jujubetiller-not-executed",
    caller_service="jujubetiller-caller-service",
    team="jujubetiller-tenant",
    authorization="authorization",
    notices=notices.NoticeNames(
        rate_limit="server-limit",
        leaving="server-leaving",
    ),
)
