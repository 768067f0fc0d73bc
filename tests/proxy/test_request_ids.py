"""Request-Id values in use: how long ids of requests without a client are kept."""

from __future__ import annotations

from load_balancer.proxy.request_ids import MIN_RETIRED_IDS, RETENTION_S, RequestIds


class Clock:
    """A clock in s that tests set."""

    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def test_retired_id_is_in_use_until_its_retention_ends() -> None:
    clock = Clock()
    ids = RequestIds(clock)
    assert ids.open(b"a")
    ids.retire(b"a")
    ids.release(b"a")
    clock.now = RETENTION_S - 1
    assert not ids.open(b"a")
    clock.now = RETENTION_S
    assert ids.open(b"a") and not ids.open(b"a")


def test_number_of_retired_ids_is_bounded_and_the_oldest_is_forgotten_first() -> None:
    ids = RequestIds(Clock())
    for number in range(MIN_RETIRED_IDS + 1):
        ids.retire(b"%d" % number)
    assert ids.open(b"0") and not ids.open(b"1")
