"""Decoder of the JSON settings object, which maps the protocol's names to the fields of ``Settings``.

A node reads the object from its configuration file; the simulator sends it when it starts an instance. The
values that the policy does not use are read by ``proxy.config``.
"""

from __future__ import annotations

import json
from typing import Any

from load_balancer.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

_IDEMPOTENCY_BY_NAME = {
    "free": Idempotency.IDEMPOTENT,
    "guarded": Idempotency.KEYED,
    "single_shot": Idempotency.NOT_IDEMPOTENT,
}
_SCOPES_BY_NAME = {
    "all": DeduplicationScope.ALL,
    "zone": DeduplicationScope.ZONE,
    "cell": DeduplicationScope.CELL,
}


class SettingsError(ValueError):
    """An invalid settings object."""


def decode_settings(text: bytes) -> Settings:
    """Decode a settings object. Unknown keys are ignored.

    Raises:
        SettingsError: The text is not valid JSON, a field is missing, or a value is invalid.
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: not JSON: {error}") from None
    try:
        return _decode_object(raw)
    except KeyError as error:
        raise SettingsError(f"settings: {error}: missing field or unknown value") from None
    except (TypeError, ValueError, AttributeError) as error:
        raise SettingsError(f"settings: {error}") from None


def _decode_request_class(raw: dict[str, Any]) -> RequestClass:
    return RequestClass(
        latency_objective=float(raw["Aim"]),
        deadline=float(raw["Deadline"]),
        priority_weight=float(raw["Worth"]),
        idempotency=_IDEMPOTENCY_BY_NAME[raw["Idempotency"]],
        deduplication_scope=_SCOPES_BY_NAME[raw.get("Group", "all")],
        deduplication_window=float(raw.get("Window", 0.0)),
        late_weight=float(raw.get("LateValue", 0.0)),
        sequential_per_key=bool(raw.get("SerialByKey", False)),
    )


def _decode_object(raw: dict[str, Any]) -> Settings:
    allowed, obligations = raw["Allowed"], raw["Obligations"]
    discovery = raw["Discovery"]
    if discovery not in ("push", "ask"):
        raise ValueError(f"Discovery: expected 'push' or 'ask', got {discovery!r}")
    return Settings(
        classes=tuple(_decode_request_class(raw_class) for raw_class in raw["Classes"]),
        zone=int(raw.get("MyZone", 0)),
        node_count=int(raw.get("GroupSize", 1)),
        node_index=int(raw.get("Me", 0)),
        tenant_quotas=tuple(float(tenant["QuotaPerS"]) for tenant in raw.get("Customers", ())),
        over_quota_weight=float(raw.get("OverShareWorth", 1.0)),
        endpoints_cache_keys=bool(raw.get("Domain", {}).get("WarmKeys", False)),
        endpoints_are_polled=discovery == "ask",
        poll_interval_limit=float(obligations.get("AskWithin", 10000.0)),
        tick=float(raw["Tick"]),
        can_cancel=bool(allowed.get("MayCancel", False)),
        max_attempts=int(allowed["MaxAttempts"]),
        connect_timeout=float(allowed.get("DialTimeout", 0.0)),
        max_retry_after=float(allowed["MaxRetryAfter"]) if allowed.get("RetryAfter") else 0.0,
        rejected_may_have_run=bool(obligations.get("ShedAfterStart", False)),
        cross_zone_cost=float(raw.get("Prices", {}).get("CrossZone", 0.0)),
        key_cooldown=float(obligations.get("KeyRest", 0.0)),
        slow_start_initial=float(obligations["ColdFrom"]),
        slow_start_duration=float(obligations["RampTime"]),
        slow_start_overload_factor=float(obligations.get("TipMultiple", 4.0)),
        slow_start_overload_window=float(obligations.get("OverloadFor", 1000.0)),
    )
