"""Describes the Khomas site, which the bench runs as local processes."""

from typing import Any

from bench import site_shape

ZONES = ("khomas-a", "khomas-b", "khomas-c", "khomas-d")
RETRY_TOKENS = 3
NON_IDEMPOTENT_KINDS = frozenset(("place-order", "take-deposit"))

_KINDS: dict[str, dict[str, Any]] = {
    "pattern": {
        "service": "catalogue",
        "method": "GET",
        "path_prefix": "/patterns",
        "priority_class": 3,
        "idempotent": True,
        "deadline_ms": 1_500,
    },
    "stock": {
        "service": "stockroom",
        "method": "GET",
        "path_prefix": "/stock",
        "priority_class": 2,
        "idempotent": True,
        "deadline_ms": 2_000,
    },
    "place-order": {
        "service": "orders",
        "method": "POST",
        "path_prefix": "/orders",
        "priority_class": 0,
        "idempotent": False,
        "deadline_ms": 3_000,
        "slow_ms": 300,
    },
    "reserve-stock": {
        "service": "stockroom",
        "method": "POST",
        "path_prefix": "/reservations",
        "priority_class": 0,
        "idempotent": False,
        "deadline_ms": 3_000,
    },
    "take-deposit": {
        "service": "orders",
        "method": "POST",
        "path_prefix": "/deposits",
        "priority_class": 0,
        "idempotent": False,
        "deadline_ms": 3_000,
    },
    "find-fitting": {
        "service": "fittings",
        "method": "GET",
        "path_prefix": "/free",
        "priority_class": 2,
        "idempotent": True,
        "deadline_ms": 2_000,
    },
    "book-fitting": {
        "service": "fittings",
        "method": "POST",
        "path_prefix": "/bookings",
        "priority_class": 0,
        "idempotent": False,
        "deadline_ms": 3_000,
    },
}

SLOTS = {"catalogue": 55, "orders": 55, "stockroom": 55, "fittings": 15}

PATHS: dict[str, dict[str, Any]] = {
    "catalogue": {
        "/patterns": {
            "run_ms": 8,
            "calls": [{"service": "stockroom", "path": "/stock", "method": "GET"}],
        }
    },
    "orders": {
        "/orders": {
            "run_ms": 5,
            "calls": [{"service": "stockroom", "path": "/reservations"}],
        },
        "/deposits": {
            "run_ms": 5,
            "calls": [{"service": "fittings", "path": "/bookings"}],
        },
    },
    "stockroom": {
        "/stock": {
            "run_ms": 5,
            "calls": [{"service": "fittings", "path": "/free", "method": "GET"}],
        },
        "/reservations": {
            "run_ms": 5,
            "calls": [{"service": "fittings", "path": "/bookings"}],
        },
    },
    "fittings": {"/free": {"run_ms": 10}, "/bookings": {"run_ms": 10}},
}

SHAPE = site_shape.SiteShape(ZONES, SLOTS, PATHS, _KINDS, RETRY_TOKENS)

make_ticket = SHAPE.make_ticket
make_plan = SHAPE.make_plan
