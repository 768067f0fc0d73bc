"""Decoding the settings object, and the errors of one that can't be used."""

from __future__ import annotations

import json

import pytest

from load_balancer.settings_decoder import SettingsError, decode_settings
from tests.raw_settings import SETTINGS


@pytest.mark.parametrize(
    ("change", "word"),
    [
        ({"Classes": []}, "classes"),
        ({"Discovery": "guess"}, "Discovery"),
        ({"Tick": 0}, "tick"),
        ({"Classes": [{**SETTINGS["Classes"][0], "Aim": -1}]}, "latency_objective"),
        ({"Classes": [{**SETTINGS["Classes"][0], "Idempotency": "maybe"}]}, "maybe"),
        ({"Allowed": {}}, "MaxAttempts"),
    ],
)
def test_unusable_settings_raise_an_error_that_names_the_field(change: dict[str, object], word: str) -> None:
    with pytest.raises(SettingsError, match=word):
        decode_settings(json.dumps({**SETTINGS, **change}).encode())


def test_the_connect_timeout_is_optional() -> None:
    allowed = {**SETTINGS["Allowed"], "DialTimeout": 200.0}
    assert decode_settings(json.dumps({**SETTINGS, "Allowed": allowed}).encode()).connect_timeout == 200.0
    assert decode_settings(json.dumps(SETTINGS).encode()).connect_timeout == 0.0
