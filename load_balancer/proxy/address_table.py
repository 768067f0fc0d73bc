"""Encodes endpoint addresses as 64-bit integers, the form in which packed rows hold them."""

from __future__ import annotations

import socket

from load_balancer.proxy.address import Address
from load_balancer.proxy.errors import AddressTableFullError

MAX_HOST_NAMES = 100_000
_PORT_BITS = 16
_PORT_MASK = (1 << _PORT_BITS) - 1
_HOST_NAME_FLAG = 1 << 63  # set if the bits above the port are the index of a host name, not an IPv4 address


class AddressTable:
    """Maps addresses to integers below 2**64 and back.

    The integer itself holds an IPv4 address; any other host is stored in the table and never removed.
    """

    def __init__(self) -> None:
        self._host_names: list[str] = []
        self._host_name_indices: dict[str, int] = {}

    def encode(self, address: Address) -> int:
        """Return the integer for an address.

        Raises:
            AddressTableFullError: The table already holds ``MAX_HOST_NAMES`` other host names.
        """
        host, port = address
        try:
            ipv4 = socket.inet_pton(socket.AF_INET, host)
        except OSError:
            return _HOST_NAME_FLAG | self._host_name_index(host) << _PORT_BITS | port
        return int.from_bytes(ipv4) << _PORT_BITS | port

    def decode(self, encoded: int) -> Address:
        """Return the address that ``encode`` turned into this integer."""
        host, port = encoded >> _PORT_BITS, encoded & _PORT_MASK
        if encoded & _HOST_NAME_FLAG:
            return self._host_names[host & ~(_HOST_NAME_FLAG >> _PORT_BITS)], port
        return socket.inet_ntop(socket.AF_INET, host.to_bytes(4)), port

    def _host_name_index(self, name: str) -> int:
        if name not in self._host_name_indices:
            if len(self._host_names) >= MAX_HOST_NAMES:
                raise AddressTableFullError(MAX_HOST_NAMES)
            self._host_name_indices[name] = len(self._host_names)
            self._host_names.append(name)
        return self._host_name_indices[name]
