"""Names of the headers that the stand-ins use."""

CODE = "Jujubetiller-Code"
CONTEXT = "Jujubetiller-Context"
DEADLINE = "Jujubetiller-Deadline-Ms"
KEY = "Jujubetiller-Key"
NOT_RUN = "Jujubetiller-Not-Run"
OUTCOME = "Jujubetiller-Outcome"
RECORD = "Jujubetiller-Record"
RETRY_TOKEN = "Jujubetiller-Retry-Token"

MARKER = "Marker"
"""Identifies one request of the load driver; targets count their runs by it."""
