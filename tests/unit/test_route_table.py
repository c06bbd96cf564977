"""Matching of routes by host and longest prefix."""

import itertools

from worksramp.routing.table import Route, RouteKind, RouteTable, SplitPart
from worksramp.wire import decode, encode

HOSTS = ("a.example", "b.example")
PREFIXES = tuple(
    "/" + "".join(f"{part}/" for part in parts)
    for length in range(4)
    for parts in itertools.product(("x", "y", "x%2Fy"), repeat=length)
)


def route(host: str, prefix: str) -> Route:
    return Route(f"{host}{prefix}", host, prefix, RouteKind.IDEMPOTENT, (SplitPart("s", 1.0),))


def longest(table: RouteTable, host: str, path: str) -> Route | None:
    """Return the expected route by comparing all routes."""
    found = [r for r in table.routes if r.host == host and path.startswith(r.path_prefix)]
    return max(found, key=lambda r: len(r.path_prefix), default=None)


def test_the_longest_prefix_of_the_host_matches() -> None:
    chosen = [route(host, prefix) for host in HOSTS for prefix in PREFIXES[2::3]]
    table = RouteTable(1, tuple(chosen), {})
    paths = [prefix + rest for prefix in PREFIXES for rest in ("", "z", "z/", "x", "..", "/x/", "y/../x")]
    paths += ["", "x", "//", "/"]
    for host in (*HOSTS, "c.example"):
        for path in paths:
            assert table.match(host, path) == longest(table, host, path), (host, path)


def test_an_encoded_and_decoded_table_matches_the_same_routes() -> None:
    table = RouteTable(1, (route("a.example", "/x/"),), {})
    copy = decode(encode(table), RouteTable)
    assert copy == table
    assert copy.match("a.example", "/x/1") == table.routes[0]


def test_the_first_of_two_equal_routes_is_used() -> None:
    first, second = route("a.example", "/x/"), route("a.example", "/x/")
    assert RouteTable(1, (first, second), {}).match("a.example", "/x/1") is first
