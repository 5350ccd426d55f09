"""Sample documents in the formats of the users' platform."""

import copy
import json
from typing import Any

SETTINGS = """
node_id = "sidecar-a-1"
ip = "127.0.0.1"
zone = "a"
service = "ledger"
port_range = [7620, 7635]
app_addr = "127.0.0.1:8301"
a_new_field = 1
[listen_addrs]
ingress = "127.0.0.1:8300"
egress = "127.0.0.1:8304"
ready = "127.0.0.1:8302"
[bounds]
grace = "6s"
[platform]
address = "127.0.0.9:8309"
value_bytes = 1048576
"""

INSTANCE: dict[str, Any] = {
    "service": "ledger",
    "address": "127.0.0.1:8301",
    "zone": "a",
    "version": "v1",
    "capacity": 29,
    "state": "ready",
    "warmup_left": "1500ms",
    "sequence": 4,
    "born": 1_700_000_000_000,
}

CONFIGURATION: dict[str, Any] = {
    "version": "0000000c",
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
    "base_version": "00000005",
    "listeners": [
        {
            "host": "a.example",
            "rules": [
                {
                    "name": "read",
                    "kind": "idempotent",
                    "target_latency": "1200ms",
                    "priority": 2,
                    "match": {"prefix": "/read/"},
                    "action": {
                        "weighted_services": [
                            {"service": "ledger", "weight": 90},
                            {"service": "booth", "weight": 10},
                        ],
                        "timeout": "5s",
                        "max_attempts": 2,
                    },
                },
                {
                    "name": "book",
                    "kind": "non_idempotent",
                    "target_latency": "1500ms",
                    "priority": 0,
                    "match": {"prefix": "/book/"},
                    "action": {
                        "service": "booth",
                        "timeout": "800ms",
                        "max_attempts": 2,
                    },
                },
            ],
        }
    ],
    "clusters": [{"name": "ledger"}, {"name": "booth"}, {"name": "swatch"}],
}


def encode(document: dict[str, Any], **changes: Any) -> bytes:
    """Return ``document`` as JSON with ``changes``; ``None`` removes a field."""
    changed = {**copy.deepcopy(document), **changes}
    return json.dumps({k: v for k, v in changed.items() if v is not None}).encode()
