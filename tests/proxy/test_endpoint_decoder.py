"""Incremental decoding of endpoint lists, and the errors that invalid lists raise."""

from __future__ import annotations

import gc
import json
import weakref

import pytest

from benchmarks.fleet import endpoint_name, snapshot_chunks
from load_balancer.proxy.address_table import AddressTable
from load_balancer.proxy.endpoint_decoder import UpdateBuilder, UpdateDecoder
from load_balancer.proxy.errors import (
    DuplicateEndpointError,
    EndpointEntryError,
    EndpointListError,
    EndpointListSyntaxError,
    TooManyEndpointsError,
)


def decode(text: bytes, max_endpoints: int = 100) -> UpdateDecoder:
    """Return a decoder that has received the text in small pieces."""
    return feed(UpdateDecoder(make_builder(max_endpoints)), text)


def make_builder(max_endpoints: int = 100) -> UpdateBuilder:
    return UpdateBuilder(
        lambda name: hash(name) & (1 << 64) - 1, lambda name: 0, {}, AddressTable(), max_endpoints
    )


def feed(decoder: UpdateDecoder, text: bytes) -> UpdateDecoder:
    for start in range(0, len(text), 7):
        decoder.feed(text[start : start + 7])
    return decoder


SNAPSHOT = b"".join(snapshot_chunks(20, 3))  # 20 endpoints, version 3


@pytest.mark.parametrize(
    ("text", "error", "message"),
    [
        (SNAPSHOT[:-60], EndpointListSyntaxError, "after 19 entries: the JSON is incomplete"),
        (
            SNAPSHOT.replace(b'"cell":0', b'"cell":"x"', 9),
            EndpointEntryError,
            "entry 1, s-00000000: cell has the invalid value 'x'",
        ),
        (
            SNAPSHOT.replace(b'"hostPort":"10.0.0.7:9000"', b'"hostPort":"10.0.0.7"'),
            EndpointEntryError,
            "entry 8, s-",
        ),
        (
            SNAPSHOT.replace(endpoint_name(9).encode(), endpoint_name(3).encode()),
            DuplicateEndpointError,
            f"endpoint {endpoint_name(3)} is listed twice",
        ),
        (b"".join(snapshot_chunks(101, 3)), TooManyEndpointsError, "more than 100 endpoints"),
        (
            SNAPSHOT.replace(b'"weight":1.0', b'"weight":-1.0', 1),
            EndpointEntryError,
            "entry 1, s-00000000: weight has the invalid value -1.0",
        ),
        (SNAPSHOT.replace(b"},{", b"}]{", 1), EndpointListSyntaxError, "after 1 entries: parse error"),
        (
            SNAPSHOT.replace(b'"zone":"z4"', b'"zone":"' + b"z" * 80_000, 1),
            EndpointListSyntaxError,
            "after 4 entries: an entry is too large",
        ),
        (
            b'{"reset":true,"instances":[' + b"[" * 40,
            EndpointListSyntaxError,
            "entry is not an object",
        ),
        (
            b'{"generation":1,"reset":true,"x":' + b"[" * 40,
            EndpointListSyntaxError,
            "objects or arrays are nested too deeply",
        ),
        (
            SNAPSHOT.replace(b'"startedAtMs":0.0', b'"startedAtMs":[]', 1).replace(b"[]", b"null", 1),
            EndpointEntryError,
            "entry 1, s-00000000: startedAtMs has the invalid value None",
        ),
        (
            SNAPSHOT.replace(b'"lifecycle":"active"', b'"lifecycle":"idle"', 1),
            EndpointEntryError,
            "entry 1, s-00000000: lifecycle has the invalid value 'idle'",
        ),
        (
            SNAPSHOT.replace(b'"lifecycle"', b'"life"', 1),
            EndpointEntryError,
            "entry 1, s-00000000: 'lifecycle' is missing",
        ),
        (
            SNAPSHOT.replace(b'"cell":0', b'"cell":1e30', 1),
            EndpointEntryError,
            "entry 1, s-00000000: ",
        ),
        (SNAPSHOT.replace(b"10.0.0.1:9000", b"10.0.0.1\\u0000:9000", 1), EndpointEntryError, "entry 2, s-"),
        (b" ", EndpointListSyntaxError, "the JSON is empty"),
    ],
    ids=range(16),
)
def test_invalid_list_raises_an_error_with_reason_and_position(
    text: bytes, error: type[EndpointListError], message: str
) -> None:
    with pytest.raises(error, match=message.replace("(", r"\(")):
        decode(text).finish()


def test_indentation_and_unknown_fields_are_ignored() -> None:
    expected = decode(SNAPSHOT).finish()
    document = json.loads(SNAPSHOT)
    document["instances"][3]["more"] = {"a": [1, {"b": None}]}
    update = decode(json.dumps(document, indent=3).encode()).finish()
    assert list(update.rows.items()) == list(expected.rows.items()) and len(expected.rows) == 20


def test_builders_are_freed_at_once_without_the_garbage_collector() -> None:
    # The ijson parser holds a reference to its target that the garbage collector can't see, so a reference
    # cycle through it is never freed: 5,000 lines of a watch, with a decoder each, leaked memory.
    gc.disable()
    try:
        builders = [make_builder(), make_builder()]
        complete, partial = (UpdateDecoder(builder) for builder in builders)
        references = [weakref.ref(builder) for builder in builders]
        del builders
        feed(complete, SNAPSHOT).finish()
        feed(partial, SNAPSHOT[:300])
        del complete, partial
        assert [reference() for reference in references] == [None, None]
    finally:
        gc.enable()
