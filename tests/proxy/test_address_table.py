"""Encoding of endpoint addresses as integers."""

from __future__ import annotations

import pytest

from load_balancer.proxy import address_table
from load_balancer.proxy.address import Address
from load_balancer.proxy.address_table import AddressTable
from load_balancer.proxy.errors import AddressTableFullError


@pytest.mark.parametrize("address", [("10.1.0.18", 9000), ("255.255.255.255", 65535), ("a.local", 65535)])
def test_decoding_returns_the_encoded_address(address: Address) -> None:
    table = AddressTable()
    encoded = table.encode(address)
    assert 0 <= encoded < 1 << 64 and encoded == table.encode(address)
    assert table.decode(encoded) == address


def test_full_table_rejects_new_host_names(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(address_table, "MAX_HOST_NAMES", 1)
    table = AddressTable()
    table.encode(("a.local", 1))
    table.encode(("a.local", 2))
    with pytest.raises(AddressTableFullError, match="more than 1 distinct host names"):
        table.encode(("b.local", 1))
