"""Request-Id values in use on a node, so that no request runs twice under the same id."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

from load_balancer.proxy.stable_id import stable_id

RETENTION_S = 60.0  # time for which a retired id is in use
BYTES_PER_RETIRED_ID = 128  # memory of one such id
MIN_RETIRED_IDS = 1024

# Name of the counter in the log.
REPEATED_IDS = "requests rejected with an id in use"


class RequestIds:
    """Ids of open requests, and retired ids: of requests that may run without a client or must not run twice.

    Args:
        time: Clock in s.
        memory: Bytes that retired ids may take; the oldest are forgotten first.
    """

    def __init__(self, time: Callable[[], float], memory: int = 0) -> None:
        self.open_ids: set[bytes] = set()
        """Ids of the requests that were received and have no response yet."""
        self.counts: Counter[str] = Counter()
        """Counters, which the metrics reporter clears after each report."""
        self._time = time
        self._max_retired = max(MIN_RETIRED_IDS, memory // BYTES_PER_RETIRED_ID)
        self._retired: dict[
            int, float
        ] = {}  # hashes with the times in s until which they are kept, ascending

    def open(self, client_request_id: bytes) -> bool:
        """Add the id of a new request; return False if the id is in use."""
        if client_request_id in self.open_ids or self._is_retired(client_request_id):
            self.counts[REPEATED_IDS] += 1
            return False
        self.open_ids.add(client_request_id)
        return True

    def release(self, client_request_id: bytes) -> None:
        """Forget the id of a request that has its response or will not be sent."""
        self.open_ids.discard(client_request_id)

    def retire(self, client_request_id: bytes) -> None:
        """Keep the id of a request in use that may run although its client has left, or must run once."""
        self._forget_expired()
        if len(self._retired) >= self._max_retired:
            del self._retired[next(iter(self._retired))]
        key = stable_id(client_request_id)
        self._retired.pop(key, None)
        self._retired[key] = self._time() + RETENTION_S

    def _is_retired(self, client_request_id: bytes) -> bool:
        if not self._retired:
            return False
        self._forget_expired()
        return stable_id(client_request_id) in self._retired

    def _forget_expired(self) -> None:
        now = self._time()
        while self._retired:
            oldest = next(iter(self._retired))
            if self._retired[oldest] > now:
                return
            del self._retired[oldest]
