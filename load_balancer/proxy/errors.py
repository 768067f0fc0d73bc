"""Exceptions raised by the proxy, all derived from ``ProxyError``."""

from __future__ import annotations

_MAX_QUOTED_LENGTH = 60  # characters of input, or of a parser's message, in an error message


class ProxyError(Exception):
    """Base class of the proxy's exceptions."""


class InvalidAddressError(ProxyError):
    """A value that is not a string of the form ``host:port``."""

    def __init__(self, value: object) -> None:
        super().__init__(f"{value!r} is not a host:port address")


class ConfigError(ProxyError):
    """A configuration that is unreadable or invalid. The message is a single line."""

    def __init__(self, reason: object, path: str = "") -> None:
        """Build the message from the reason, prefixed with the path of the configuration file if given."""
        super().__init__(f"{path}: {reason}" if path else str(reason))


class InvalidRequestError(ProxyError):
    """A client's request that is invalid and can't be forwarded."""

    def __init__(self, status: int, headers: bytes = b"") -> None:
        """Store the status of the error response, and header lines to send with it."""
        super().__init__(f"status {status}")
        self.status = status
        self.headers = headers


class UpstreamResponseError(ProxyError):
    """An upstream response that can't be used."""


class MalformedResponseError(UpstreamResponseError):
    """An upstream response that is not valid HTTP or exceeds a size limit."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"malformed response: {reason}")


class ResponseMemoryError(UpstreamResponseError):
    """An incomplete response that does not fit the memory left for messages."""

    def __init__(self) -> None:
        super().__init__("no memory for the response")


class DiscoveryError(ProxyError):
    """A call to discovery that failed. Invalid content of a response raises an ``EndpointListError``."""


class ConnectionClosedError(DiscoveryError):
    """The connection to discovery closed before the response was complete."""

    def __init__(self) -> None:
        super().__init__("connection closed before the response was complete")


class ResponseStatusError(DiscoveryError):
    """Discovery returned a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"unexpected status {status}")
        self.status = status


class WatchEndedError(DiscoveryError):
    """Discovery ended the response to a watch request, which normally stays open."""

    def __init__(self) -> None:
        super().__init__("discovery ended the watch response")


class WatchSilentError(DiscoveryError):
    """An open watch brought no complete line in time, though discovery sends heartbeats."""

    def __init__(self, silent_since: float) -> None:
        """Store the time in ms at which the watch was opened or its last complete line arrived."""
        super().__init__("the watch fell silent")
        self.silent_since = silent_since


class EndpointListError(ProxyError):
    """A snapshot or delta of the endpoint list that can't be applied."""


class EndpointListSyntaxError(EndpointListError):
    """Input that is not valid JSON, is truncated, or does not have the structure of an endpoint list."""

    def __init__(self, reason: str, position: str = "") -> None:
        """Build the message from the error's position in the list, if known, and the shortened reason."""
        reason = " ".join(reason.split())[:_MAX_QUOTED_LENGTH]
        super().__init__(f"{position}: {reason}" if position else reason)


class EndpointListFieldError(EndpointListError):
    """A top-level field of the list that is missing or invalid."""


class EndpointEntryError(EndpointListError):
    """An entry of the list that is invalid."""

    def __init__(self, entry_number: int, name: object, reason: object) -> None:
        """Build the message from the entry's number, counted from 1, its endpoint's name and the reason."""
        super().__init__(f"entry {entry_number}, {name}: {reason}")
        self.entry_number = entry_number


class InvalidFieldError(ProxyError):
    """A field of an entry that has an invalid value."""

    def __init__(self, field: str, value: object) -> None:
        super().__init__(f"{field} has the invalid value {repr(value)[:_MAX_QUOTED_LENGTH]}")
        self.field = field


class AddressTableFullError(ProxyError):
    """Too many distinct host names in the addresses of endpoints."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"more than {limit} distinct host names")


class DuplicateEndpointError(EndpointListError):
    """A snapshot with two entries for the same endpoint."""

    def __init__(self, name: str) -> None:
        super().__init__(f"endpoint {name} is listed twice")


class TooManyEndpointsError(EndpointListError):
    """A list with more endpoints than the node's memory limit allows."""

    def __init__(self, limit: int) -> None:
        super().__init__(f"more than {limit} endpoints, the maximum for the node's memory limit")


class StaleVersionError(EndpointListError):
    """An update with a lower version than one that was applied before."""

    def __init__(self, version: int, newest_version: int) -> None:
        super().__init__(f"version {version} is older than {newest_version}")
