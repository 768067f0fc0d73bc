"""Decoding of the settings object, and the errors for an invalid one."""

from __future__ import annotations

import json

import pytest

from load_balancer.settings_decoder import SettingsError, decode_settings
from tests.raw_settings import SETTINGS


@pytest.mark.parametrize(
    ("changes", "message"),
    [
        ({"Classes": []}, "classes"),
        ({"Discovery": "guess"}, "Discovery"),
        ({"Tick": 0}, "tick"),
        ({"Classes": [{**SETTINGS["Classes"][0], "Aim": -1}]}, "latency_objective"),
        ({"Classes": [{**SETTINGS["Classes"][0], "Idempotency": "maybe"}]}, "maybe"),
        ({"Allowed": {}}, "MaxAttempts"),
    ],
)
def test_error_for_invalid_settings_names_field_or_value(changes: dict[str, object], message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        decode_settings(json.dumps({**SETTINGS, **changes}).encode())


def test_connect_timeout_is_optional() -> None:
    allowed = {**SETTINGS["Allowed"], "DialTimeout": 200.0}
    assert decode_settings(json.dumps({**SETTINGS, "Allowed": allowed}).encode()).connect_timeout == 200.0
    assert decode_settings(json.dumps(SETTINGS).encode()).connect_timeout == 0.0
