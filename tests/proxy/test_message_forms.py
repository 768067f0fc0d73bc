"""A node process between peers that use all forms of HTTP/1.1 (`python -m benchmarks message-forms`)."""

from __future__ import annotations

import pytest
import uvloop

from benchmarks.forms_check import check_forms

SECONDS = 3.0


@pytest.mark.parametrize("seed", [1, 2])
def test_messages_in_all_forms_arrive_unchanged(seed: int) -> None:
    # Guards against a form of a request or a response that is cut, lost or taken for another message.
    result = uvloop.run(check_forms(seed, SECONDS))
    assert not result.violations and result.without_length
