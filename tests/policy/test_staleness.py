"""The endpoint list while there is no contact with discovery, and how it is asked for again."""

from __future__ import annotations

from load_balancer.policy.commands import SetTimer, WatchEndpoints
from load_balancer.policy.events import AttemptResult, EndpointUpdate, UpdateKind
from tests.policy.driver import NOT_IDEMPOTENT, PolicyDriver, endpoint, settings


def test_endpoint_list_is_polled_with_backoff_and_only_where_it_is_not_pushed() -> None:
    driver = PolicyDriver(settings(endpoints_are_polled=True), endpoints=3)
    delays = []
    for _ in range(8):
        driver.advance(3000.0)
        timers = [command for command in driver.make_discovery_unavailable() if isinstance(command, SetTimer)]
        delays.append(timers[0].delay)
    assert sum(isinstance(command, WatchEndpoints) for command in driver.commands) >= 7
    assert delays[-1] > delays[0]
    assert max(delays) <= driver.config.poll_interval_limit / 4
    pushed = PolicyDriver(settings(), endpoints=3)
    pushed.advance(60_000.0)
    assert not any(isinstance(command, WatchEndpoints | SetTimer) for command in pushed.commands)


def test_while_the_endpoint_list_is_stale_only_endpoints_that_served_lately_are_used() -> None:
    # An endpoint may be draining unnoticed meanwhile; one that answered lately is not.
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
        driver.now += 100  # no update for 4 s, but the watch stands: not stale
        driver.serve(driver.request())
    driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, [], driver.now - 1000.0))
    stale_since, first = driver.now - 1000.0, len(driver.attempts)
    for _ in range(100):
        driver.now += 100
        number = driver.request()
        while driver.attempts_in_flight:
            serves = driver.attempts[number][-1].endpoint.id < 2
            driver.end_attempt(
                *driver.oldest_in_flight(), AttemptResult.SUCCESS if serves else AttemptResult.REJECTED
            )
    attempts = [sent for of_request in list(driver.attempts.values())[first:] for sent in of_request]
    late = [sent.endpoint.id for sent in attempts if sent.sent_at + 50.0 >= stale_since + 1000.0 + 3000.0]
    assert len(late) > 40
    assert set(late) == {0, 1}
    driver.now += 3000.0
    assert not driver.attempts[driver.request()]
    driver.update_endpoints([])
    assert driver.attempts[driver.request()]
    driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, [], driver.now))
    driver.now += 60_000.0  # down for a minute: all endpoints are used again
    assert driver.attempts[driver.request()]


def test_broken_watch_is_renewed_in_time() -> None:
    driver = PolicyDriver(settings(endpoints_are_polled=True, poll_interval_limit=5000.0), endpoints=3)
    driver.advance(300.0)
    driver.update_endpoints([endpoint(i) for i in range(3)], UpdateKind.SNAPSHOT)
    watches = sum(isinstance(command, WatchEndpoints) for command in driver.commands)
    driver.handle(EndpointUpdate(UpdateKind.UNAVAILABLE, 0, []))
    driver.advance(1300.0)
    assert sum(isinstance(command, WatchEndpoints) for command in driver.commands) > watches
