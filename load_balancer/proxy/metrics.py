"""Periodic report of the node's counters in the log."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence

REPORT_INTERVAL_S = 10.0

logger = logging.getLogger(__name__)


class MetricsReporter:
    """Logs the counters of several components periodically, together in one line.

    The counters are reset to zero after each report. Nothing is logged if nothing was counted.

    Args:
        loop: The event loop that runs the timer.
        counters: The components' counters, which this class clears.
        describe_state: Returns a line on the present state, which follows the counts.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        counters: Sequence[Counter[str]],
        describe_state: Callable[[], str],
    ) -> None:
        self._loop = loop
        self._counters = counters
        self._describe_state = describe_state
        self._timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Report at once, and then every ``REPORT_INTERVAL_S`` seconds."""
        self._report_and_reschedule()

    def stop(self) -> None:
        """Cancel the periodic report."""
        if self._timer is not None:
            self._timer.cancel()

    def report(self) -> None:
        """Log the counts since the last report, and clear the counters."""
        totals = sum(self._counters, Counter[str]())
        for counter in self._counters:
            counter.clear()
        if totals:
            text = ", ".join(f"{name} {count}" for name, count in sorted(totals.items()))
            logger.info("in %.0f s: %s", REPORT_INTERVAL_S, text)
            logger.info("now: %s", self._describe_state())

    def _report_and_reschedule(self) -> None:
        self.report()
        self._timer = self._loop.call_later(REPORT_INTERVAL_S, self._report_and_reschedule)
