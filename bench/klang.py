"""Describes the Klang site, which the bench runs as local processes."""

from typing import Any

from bench import site_shape

ZONES = ("shah-alam", "puchong", "klang-port")
RETRY_TOKENS = 3
NON_IDEMPOTENT_KINDS = frozenset(("book-slot", "log-batch"))

_KINDS: dict[str, dict[str, Any]] = {
    "job-status": {
        "service": "tracker",
        "method": "GET",
        "path_prefix": "/status",
        "priority_class": 2,
        "idempotent": True,
        "deadline_ms": 2_000,
        "slow_ms": 150,
    },
    "swatch": {
        "service": "swatch",
        "method": "GET",
        "path_prefix": "/colours",
        "priority_class": 3,
        "idempotent": True,
        "deadline_ms": 1_500,
    },
    "list-slots": {
        "service": "booth",
        "method": "GET",
        "path_prefix": "/slots",
        "priority_class": 2,
        "idempotent": True,
        "deadline_ms": 2_000,
    },
    "book-slot": {
        "service": "booth",
        "method": "POST",
        "path_prefix": "/bookings",
        "priority_class": 0,
        "idempotent": False,
        "deadline_ms": 3_000,
        "slow_ms": 300,
    },
    "log-batch": {
        "service": "tracker",
        "method": "POST",
        "path_prefix": "/batches",
        "priority_class": 1,
        "idempotent": False,
        "deadline_ms": 3_000,
    },
    "read-balance": {
        "service": "ledger",
        "method": "GET",
        "path_prefix": "/balance",
        "priority_class": 2,
        "idempotent": True,
        "deadline_ms": 2_000,
    },
    "payout": {
        "service": "ledger",
        "method": "POST",
        "path_prefix": "/payouts",
        "priority_class": 0,
        "idempotent": False,
        "deadline_ms": 3_000,
    },
}

SLOTS = {"swatch": 190, "booth": 190, "tracker": 190, "ledger": 25}

PATHS: dict[str, dict[str, Any]] = {
    "swatch": {"/colours": {"run_ms": 8}},
    "tracker": {
        "/status": {
            "run_ms": 5,
            "calls": [{"service": "booth", "path": "/slots", "method": "GET"}],
        },
        "/batches": {
            "run_ms": 5,
            "calls": [{"service": "ledger", "path": "/payouts"}],
        },
    },
    "booth": {
        "/slots": {
            "run_ms": 5,
            "calls": [{"service": "ledger", "path": "/balance", "method": "GET"}],
        },
        "/bookings": {
            "run_ms": 5,
            "calls": [{"service": "ledger", "path": "/payouts"}],
        },
    },
    "ledger": {"/balance": {"run_ms": 10}, "/payouts": {"run_ms": 10}},
}

SHAPE = site_shape.SiteShape(ZONES, SLOTS, PATHS, _KINDS, RETRY_TOKENS)

make_ticket = SHAPE.make_ticket
make_plan = SHAPE.make_plan
