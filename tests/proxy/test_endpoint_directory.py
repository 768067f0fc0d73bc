"""Endpoint ids, which the endpoint directory derives from names."""

from __future__ import annotations

from load_balancer.proxy.stable_id import stable_id


def test_endpoint_ids_are_the_same_on_every_node_and_after_a_restart() -> None:
    assert stable_id(b"s-5be2a07c") == 0x850D21AD14919D0C
