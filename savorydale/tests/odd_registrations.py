"""Entries of workers that another writer has left with one odd part."""

import json

HUGE = 10**400
ODD_CHANGES = {
    "cpu of 400 digits": {"capacity": {"cpu": HUGE, "memMb": 1000}},
    "cpu of 400 digits below zero": {"capacity": {"cpu": -HUGE, "memMb": 1000}},
    "cpu as large as a float can be": {"capacity": {"cpu": 1e308, "memMb": 1000}},
    "cpu below zero": {"capacity": {"cpu": -5, "memMb": 1000}},
    "cpu with a fraction": {"capacity": {"cpu": 10.5, "memMb": 1000}},
    "cpu is true": {"capacity": {"cpu": True, "memMb": 1000}},
    "memory of 400 digits": {"capacity": {"cpu": 1000, "memMb": HUGE}},
    "gpu of 400 digits": {"capacity": {"cpu": 1000, "memMb": 1000, "gpu": HUGE}},
    "gpu is a list": {"capacity": {"cpu": 1000, "memMb": 1000, "gpu": []}},
    "no capacity": {"capacity": None},
    "born of 400 digits": {"born": HUGE},
    "born below zero": {"born": -1},
    "remaining time of 400 digits": {"state": "draining", "remainingMs": HUGE},
    "remaining time is not finite": {"remainingMs": float("inf")},
    "state is a list": {"state": ["ready"]},
    "state is unknown": {"state": "asleep"},
    "labels by the thousand": {"labels": [f"x{number}" for number in range(2000)]},
    "labels in a label": {"labels": [["a"]]},
    "labels is an object": {"labels": {}},
    "address is a number": {"address": 80},
    "address is empty": {"address": ""},
    "address without a port": {"address": "10.0.0.1"},
    "address without a host": {"address": ":80"},
    "port 0": {"address": "10.0.0.1:0"},
    "port 65536": {"address": "10.0.0.1:65536"},
    "port 99999999": {"address": "10.0.0.1:99999999"},
    "port -1": {"address": "10.0.0.1:-1"},
    "port in other digits": {"address": "10.0.0.1:\u0661\u0662"},
    "user in the address": {"address": "me:pw@10.0.0.1:80"},
    "path in the address": {"address": "10.0.0.1:80/x"},
    "path before the port": {"address": "10.0.0.1/x:80"},
    "space in the address": {"address": "10.0.0. 1:80"},
    "line break in the address": {"address": "10.0.0.1:80\r\nX: y"},
    "line break at the end": {"address": "10.0.0.1:80\n"},
    "address in other letters": {"address": "w\u00f6rker:80"},
    "lone surrogate in the address": {"address": "\ud800:80"},
    "number too large in the address": {"address": "10.0.0.999:80"},
    "address of 200 kB": {"address": "a" * 200_000 + ":80"},
    "IPv6 without brackets": {"address": "fe80::1:80"},
    "IPv6 that is none": {"address": "[fe80::1::2]:80"},
}
ODD_VALUES = {
    "lists nested 100,000 deep": b"[" * 100_000,
    "objects nested 100,000 deep": b'{"a":' * 100_000,
    "number of 5,000 digits": b'{"seq":' + b"1" * 5000 + b"}",
    "no value": b"",
    "no UTF-8": b"\xff\xfe{}",
    "a list": b"[]",
    "null": b"null",
}
ODD_NAMES = [*ODD_CHANGES, *ODD_VALUES]


def make_odd(name: str, registration: bytes) -> bytes:
    """Return a worker's entry with the odd part of that name."""
    if name in ODD_VALUES:
        return ODD_VALUES[name]
    return json.dumps({**json.loads(registration), **ODD_CHANGES[name]}).encode()
