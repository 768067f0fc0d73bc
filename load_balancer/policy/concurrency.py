"""Required concurrency: the attempts in flight that this node needs to keep its share of the fleet busy.

By Little's law it is the peak goodput times the lowest mean latency, with some headroom. It is at least the
nominal concurrency (see ``fleet_capacity``) and the sustained concurrency, which is the recent peak of the
attempts in flight while almost all responses came in time. Goodput is the rate of useful responses:
successful ones that are in time, or that are late in a request class that gives weight to late responses.
"""

from __future__ import annotations

from load_balancer.policy.failure_ratio import FleetFailureRatio
from load_balancer.policy.fleet_capacity import FleetCapacity

GOODPUT_WINDOW = 2000.0  # ms over which the goodput is averaged
PEAK_WINDOW = 20000.0  # time constant in ms of the decay of the peak goodput
# Number of responses over which the share of late responses is averaged. The mean latency is averaged over as
# many useful responses as arrive in a GOODPUT_WINDOW, but over at least MIN_AVERAGED_RESPONSES.
MIN_AVERAGED_RESPONSES = 60.0
MIN_SAMPLES = MIN_AVERAGED_RESPONSES / 5  # number of responses below which the mean latency counts as unknown
# Time constant in ms of the growth of the lowest mean latency, which lets it follow requests that become more
# expensive.
LOWEST_LATENCY_GROWTH_TIME = 100000.0
LOW_LATENCY_RATIO = 1.3  # mean latency / lowest mean latency below which responses are fast
CONGESTED_RATIO = 2.0  # mean latency / lowest mean latency above which most attempts in flight are queued
MAX_LATE_RATIO = 0.03  # share of late responses below which the attempts in flight count as sustained
MAX_SUSTAINED_RATIO = 1.5  # maximum of the sustained concurrency, as a multiple of the nominal concurrency
MAX_HEADROOM = 1.5  # headroom factor on peak goodput * lowest mean latency while nothing fails
MAX_GROWTH_FAILURE_RATIO = 0.05  # failure ratio below which a higher send rate counts as growing traffic
NO_HEADROOM_FAILURE_RATIO = 0.1  # failure ratio from which the headroom factor is 1


class ConcurrencyEstimator:
    """Estimates the required concurrency of this node.

    Args:
        time_scale: Factor on the time constants.
    """

    def __init__(self, time_scale: float) -> None:
        self._time_scale = time_scale
        self._goodput_window = GOODPUT_WINDOW * time_scale
        self._peak_window = PEAK_WINDOW * time_scale
        self.required = 1.0
        """Attempts in flight that keep this node's share of the fleet busy. Read-only outside this class."""
        self.mean_latency = 0.0
        """Mean latency of recent useful responses in ms. Read-only outside this class."""
        self.lowest_mean_latency = 0.0
        """Lowest mean latency in ms; grows slowly, and is 0 while unknown. Read-only outside this class."""
        self.peak_goodput_per_endpoint = 0.0
        """Peak goodput of this node: useful responses per ms and per effective endpoint of the fleet."""
        self._useful_responses = 0  # number since the last update
        self._observed_time = 0.0  # ms over which the goodput is averaged, at most the window
        self._goodput = 0.0  # useful responses per ms
        self._peak_goodput = 0.0  # decaying peak of the goodput, or of the send rate of growing traffic
        self._latency_samples = 0.0  # responses over which the mean latency is averaged
        self._late_ratio = 1.0  # share of late responses and timeouts, moving average
        # Decaying peak of the attempts in flight while almost all responses are in time.
        self._sustained_concurrency = 0.0

    @property
    def congested(self) -> bool:
        """Whether responses are so slow that most attempts in flight are waiting in queues."""
        return self.mean_latency > CONGESTED_RATIO * self.lowest_mean_latency

    def record_timeliness(self, late: bool) -> None:
        """Record whether a response was late; timeouts count as late."""
        self._late_ratio += (late - self._late_ratio) / MIN_AVERAGED_RESPONSES

    def record_useful_response(self, elapsed: float) -> None:
        """Record a useful response that arrived ``elapsed`` ms after its attempt was sent."""
        self._useful_responses += 1
        window = max(MIN_AVERAGED_RESPONSES, self._responses_per_window())
        self._latency_samples = min(self._latency_samples + 1, window)
        self.mean_latency += (elapsed - self.mean_latency) / self._latency_samples

    def update(
        self,
        elapsed: float,
        in_flight: float,
        send_rate: float,
        failures: FleetFailureRatio,
        capacity: FleetCapacity,
    ) -> None:
        """Recompute the required concurrency.

        Args:
            elapsed: Time in ms since the last update.
            in_flight: Average number of attempts in flight.
            send_rate: Average number of attempts sent per ms.
            failures: Recent failures over all endpoints.
            capacity: Capacity of the fleet.
        """
        self._update_goodput(elapsed, capacity.effective_endpoint_count)
        if self._latency_samples >= MIN_SAMPLES:
            self._update_lowest_latency(elapsed)
            self._follow_growth(send_rate, failures.value)
        self._update_sustained_concurrency(elapsed, in_flight, capacity.nominal_concurrency)
        headroom = 1.0 + (MAX_HEADROOM - 1.0) * max(0.0, 1.0 - failures.value / NO_HEADROOM_FAILURE_RATIO)
        measured = headroom * self._peak_goodput * self.lowest_mean_latency
        self.required = max(capacity.nominal_concurrency, measured, self._sustained_concurrency)
        if self._latency_samples < MIN_SAMPLES:
            self.required = max(self.required, 1.0)

    def _responses_per_window(self) -> float:
        return self._goodput * GOODPUT_WINDOW * self._time_scale

    def _update_goodput(self, elapsed: float, effective_endpoint_count: float) -> None:
        # Until a whole window has passed, the average covers the time since the start of the node.
        self._observed_time = min(self._observed_time + elapsed, self._goodput_window)
        new_goodput = self._useful_responses / max(elapsed, 1.0)
        self._goodput += (new_goodput - self._goodput) * elapsed / self._observed_time
        keep = 1 - elapsed / self._peak_window
        self._peak_goodput = max(self._peak_goodput * keep, self._goodput)
        self.peak_goodput_per_endpoint = max(
            self.peak_goodput_per_endpoint * keep, self._goodput / effective_endpoint_count
        )
        self._useful_responses = 0

    def _update_lowest_latency(self, elapsed: float) -> None:
        lowest = self.lowest_mean_latency or self.mean_latency
        self.lowest_mean_latency = min(lowest * (1 + elapsed / LOWEST_LATENCY_GROWTH_TIME), self.mean_latency)

    def _follow_growth(self, send_rate: float, failure_ratio: float) -> None:
        # When traffic grows, the send rate rises before the goodput. Attempts in flight alone do not show
        # growth, as they also rise when responses slow down. With few responses a slowdown is seen too late.
        low_latency = self.mean_latency < LOW_LATENCY_RATIO * self.lowest_mean_latency
        enough_responses = self._responses_per_window() > MIN_AVERAGED_RESPONSES / 2
        if failure_ratio < MAX_GROWTH_FAILURE_RATIO and low_latency and enough_responses:
            self._peak_goodput = max(self._peak_goodput, send_rate)

    def _update_sustained_concurrency(self, elapsed: float, in_flight: float, nominal: float) -> None:
        # Traffic that is served in time does not count as overload, even if this node has more than its
        # share of the traffic.
        in_time = self._late_ratio < MAX_LATE_RATIO
        self._sustained_concurrency *= 1 - elapsed / (self._peak_window if in_time else self._goodput_window)
        if in_time:
            self._sustained_concurrency = max(
                self._sustained_concurrency, min(in_flight, MAX_SUSTAINED_RATIO * nominal)
            )
