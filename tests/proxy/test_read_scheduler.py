"""Turns of connections whose input takes much time."""

from __future__ import annotations

import asyncio

from load_balancer.proxy.read_scheduler import BURST_S, TIME_SLICE_S, ReadScheduler, ReadUsage
from tests.proxy.harness import run


class CountedReader:
    """Reader whose turns take a whole time slice each; it asks for another one ``repeats`` times."""

    def __init__(self, scheduler: ReadScheduler, name: int, turns: list[int], repeats: int = 0) -> None:
        self.scheduler, self.name, self.turns, self.repeats = scheduler, name, turns, repeats

    def take_turn(self) -> None:
        self.turns.append(self.name)
        self.scheduler.record(TIME_SLICE_S)
        if self.repeats:
            self.repeats -= 1
            self.scheduler.add(self)


def test_connection_waits_once_its_input_has_taken_more_than_its_share() -> None:
    usage = ReadUsage()
    assert not usage.add(BURST_S / 2)
    assert usage.add(BURST_S)


def test_turns_are_given_in_order_and_only_a_time_slice_of_them_in_an_iteration() -> None:
    async def test() -> None:
        scheduler, turns = ReadScheduler(asyncio.get_running_loop()), list[int]()
        for name in range(20):
            scheduler.add(CountedReader(scheduler, name, turns, repeats=1))
        iterations = 0
        while len(turns) < 40:
            before = len(turns)
            await asyncio.sleep(0)
            iterations += 1
            assert len(turns) - before <= 2  # each takes a whole slice
        assert turns == [*range(20), *range(20)] and iterations >= 20

    run(test())
