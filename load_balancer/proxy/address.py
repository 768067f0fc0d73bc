"""TCP addresses in the form ``host:port``."""

from __future__ import annotations

from load_balancer.proxy.errors import InvalidAddressError

MAX_PORT = 65535


Address = tuple[str, int]
"""Host and port, as the ``socket`` module takes them."""


def parse_address(text: str) -> Address:
    """Parse an address of the form ``host:port``.

    Raises:
        InvalidAddressError: The value has another form or type, or the port is above 65535.
    """
    if not isinstance(text, str):  # values from JSON can have any type
        raise InvalidAddressError(text)
    host, _, port = text.rpartition(":")
    if not host or not port.isdecimal() or int(port) > MAX_PORT:
        raise InvalidAddressError(text)
    return host, int(port)
