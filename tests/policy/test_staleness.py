"""Stale endpoint lists: which endpoints are used without contact with discovery, and how it is polled."""

from __future__ import annotations

import pytest

from load_balancer.policy.commands import SetTimer, WatchEndpoints
from load_balancer.policy.engine import UnservedReason
from load_balancer.policy.events import AttemptResult, DiscoveryLoss, EndpointUpdate, UpdateKind
from tests.policy.driver import NOT_IDEMPOTENT, PolicyDriver, endpoint, settings


def test_discovery_is_polled_with_backoff_unless_it_pushes_the_endpoint_list() -> None:
    driver = PolicyDriver(settings(endpoints_are_polled=True), endpoints=3)
    delays = []
    for _ in range(8):
        driver.advance(3000.0)
        timers = [command for command in driver.make_discovery_unavailable() if isinstance(command, SetTimer)]
        delays.append(timers[0].delay)
    assert sum(isinstance(command, WatchEndpoints) for command in driver.commands) >= 7
    assert delays[-1] > delays[0]
    assert max(delays) <= driver.config.poll_interval_limit / 4
    push_driver = PolicyDriver(settings(), endpoints=3)
    push_driver.advance(60_000.0)
    assert not any(isinstance(command, WatchEndpoints | SetTimer) for command in push_driver.commands)


def test_only_endpoints_that_served_recently_are_used_while_the_list_is_stale() -> None:
    # Without discovery the node can't see drains, but an endpoint that served a request isn't draining.
    driver = PolicyDriver(
        settings(
            classes=(NOT_IDEMPOTENT,),
            endpoints_are_polled=True,
            stale_endpoints_limit=3000.0,
            connect_timeout=50.0,
        ),
        endpoints=8,
    )
    driver.update_endpoints([])
    for _ in range(40):
        driver.now += 100  # there is no update for 4 s, but the list is not stale, since the watch is open
        driver.serve(driver.request())
    driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, [], driver.now - 1000.0))
    stale_since, earlier_count = driver.now - 1000.0, len(driver.attempts)
    for _ in range(100):
        driver.now += 100
        request_id = driver.request()
        while driver.attempts_in_flight:
            is_served = driver.attempts[request_id][-1].endpoint.id < 2
            driver.end_attempt(
                *driver.oldest_in_flight(), AttemptResult.SUCCESS if is_served else AttemptResult.REJECTED
            )
    attempts = [sent for group in list(driver.attempts.values())[earlier_count:] for sent in group]
    # Endpoints 2 to 7 served their last request at most 1000 ms after the last contact. They are usable for
    # at most 3000 ms from then on, less the connect timeout of 50 ms; later attempts must go to 0 and 1.
    used = [sent.endpoint.id for sent in attempts if sent.sent_at + 50.0 >= stale_since + 1000.0 + 3000.0]
    assert len(used) > 40
    assert set(used) == {0, 1}
    driver.now += 3000.0
    assert not driver.attempts[driver.request()]
    driver.update_endpoints([])
    assert driver.attempts[driver.request()]
    driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, [], driver.now))
    driver.now += 60_000.0  # after a minute without discovery, all endpoints are used again
    assert driver.attempts[driver.request()]


def test_broken_watch_is_renewed_within_the_poll_interval_limit() -> None:
    driver = PolicyDriver(settings(endpoints_are_polled=True, poll_interval_limit=5000.0), endpoints=3)
    driver.advance(300.0)
    driver.update_endpoints([endpoint(i) for i in range(3)], UpdateKind.SNAPSHOT)
    watches = sum(isinstance(command, WatchEndpoints) for command in driver.commands)
    driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, []))
    driver.advance(1300.0)
    assert sum(isinstance(command, WatchEndpoints) for command in driver.commands) > watches


@pytest.mark.parametrize("loss", [DiscoveryLoss.WATCH_SILENT, DiscoveryLoss.ADDRESS_CHANGED])
def test_endpoints_that_go_on_to_serve_are_not_used_once_the_list_has_expired(loss: DiscoveryLoss) -> None:
    # Guards against attempts at an endpoint that was removed and still answers, after the watch fell silent:
    # the answers were taken for a proof that the endpoint may be used.
    driver = PolicyDriver(
        settings(endpoints_are_polled=True, stale_endpoints_limit=3000.0, connect_timeout=50.0), endpoints=4
    )
    driver.update_endpoints([])
    driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, [], driver.now - 1000.0, loss))
    expires_at = driver.now - 1000.0 + 3000.0 - 50.0
    while driver.now + 100.0 < expires_at:
        driver.now += 100.0
        driver.serve(driver.request())
        # A failed call does not take back that the list expires.
        driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, [], driver.now))
    assert len(driver.attempts) > 15 and all(driver.attempts.values())
    driver.policy.unserved_counts.clear()
    for elapsed in (0.0, 1000.0, 60_000.0):
        driver.now = expires_at + elapsed
        assert not driver.attempts[driver.request()]
    assert driver.policy.unserved_counts == {UnservedReason.EXPIRED_LIST: 3}
    driver.update_endpoints([])
    assert driver.attempts[driver.request()]


def test_changed_address_after_an_outage_leaves_the_list_in_use_until_the_node_counts_as_notified() -> None:
    driver = PolicyDriver(settings(endpoints_are_polled=True, stale_endpoints_limit=3000.0), endpoints=4)
    driver.update_endpoints([])
    outage_began_at = driver.now
    driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, [], outage_began_at))
    while driver.now < outage_began_at + 10_000.0:
        driver.now += 100.0
        driver.serve(driver.request())
    changed_at = driver.now
    driver.handle(
        EndpointUpdate(UpdateKind.UNAVAILABLE, 0, [], changed_at - 1000.0, DiscoveryLoss.ADDRESS_CHANGED)
    )
    driver.now = changed_at + 1900.0
    assert driver.attempts[driver.request()]
    driver.now = changed_at + 2000.0
    assert not driver.attempts[driver.request()]
