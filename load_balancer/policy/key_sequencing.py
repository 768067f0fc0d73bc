"""Key sequencing: runs requests with the same key one at a time, in order of arrival.

Applies to classes with ``sequential_per_key``.
"""

from __future__ import annotations

from load_balancer.policy.events import MAY_STILL_RUN, AttemptResult
from load_balancer.policy.pending_request import KeyQueue, PendingRequest


class KeySequencer:
    """Holds a queue for each key in use.

    Args:
        cooldown: Time in ms for which a key is blocked after an attempt that may still be running.
    """

    def __init__(self, cooldown: float) -> None:
        self._cooldown = cooldown
        self._queues: dict[int, KeyQueue] = {}
        self._changed_queues: list[KeyQueue] = []

    def __len__(self) -> int:
        return len(self._queues)

    def enqueue(self, request: PendingRequest) -> None:
        """Append a request to its key's queue."""
        queue = self._queues.setdefault(request.arrival.key, KeyQueue())
        queue.waiting.append(request)
        request.key_queue = queue

    def attempt_sent(self, request: PendingRequest) -> None:
        """Record an attempt in flight for the request's key."""
        if request.key_queue is not None:
            request.key_queue.attempts_in_flight += 1

    def attempt_ended(self, request: PendingRequest, result: AttemptResult, now: float) -> None:
        """Record the end of an attempt at ``now`` ms; start a cooldown if the attempt may still run."""
        queue = request.key_queue
        if queue is None:
            return
        queue.attempts_in_flight -= 1
        if result in MAY_STILL_RUN:
            queue.cooldown_until = now + self._cooldown
        self._changed_queues.append(queue)

    def request_finished(self, request: PendingRequest) -> None:
        """Remove a request from its queue, once it has its final response."""
        if request.key_queue is not None:
            request.key_queue.waiting.remove(request)
            self._changed_queues.append(request.key_queue)

    def next_ready(self) -> PendingRequest | None:
        """Return the first request of a queue that has changed, if that request has had no attempt yet.

        Each change of a queue is reported once.

        Returns:
            The request, or None if no changed queue has such a request.
        """
        while self._changed_queues:
            queue = self._changed_queues.pop()
            if queue.waiting and not queue.waiting[0].attempts_sent:
                return queue.waiting[0]
        return None

    @staticmethod
    def position(request: PendingRequest) -> int:
        """Return the number of unfinished requests of the same key that are ahead of this one."""
        return request.key_queue.waiting.index(request) if request.key_queue is not None else 0

    @staticmethod
    def recheck_at(
        request: PendingRequest, requests_ahead: int, latest_start_at: float, now: float
    ) -> float | None:
        """Return the time in ms at which the request is tried again, or None if it may start now.

        Args:
            request: The request.
            requests_ahead: Number of unfinished requests of the same key ahead of it.
            latest_start_at: Latest useful start of the attempt, ms; the upper bound of the result.
            now: Time on the policy's clock, ms.
        """
        queue = request.key_queue
        if queue is None or request.attempts_sent:
            return None  # a retry does not wait: its request is already the one running for the key
        if requests_ahead or queue.attempts_in_flight:
            return latest_start_at
        return min(latest_start_at, queue.cooldown_until) if queue.cooldown_until > now else None

    def drop_idle(self, now: float) -> None:
        """Drop queues that have no requests, no attempts in flight and no cooldown at ``now`` ms."""
        self._queues = {
            key: queue
            for key, queue in self._queues.items()
            if queue.waiting or queue.attempts_in_flight or queue.cooldown_until > now
        }
