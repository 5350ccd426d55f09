"""Blocking HTTP requests with JSON bodies, for the operators' interfaces."""

import json
from typing import Any
from urllib import request

TIMEOUT_S = 10.0


def request_json(method: str, url: str, document: Any = None) -> Any:
    """Send ``document`` and return the JSON document of the response."""
    body = None if document is None else json.dumps(document).encode()
    sent = request.Request(url, data=body, method=method)
    with request.urlopen(sent, timeout=TIMEOUT_S) as response:
        return json.loads(response.read())
