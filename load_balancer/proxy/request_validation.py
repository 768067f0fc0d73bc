"""Validation of parsed client requests against the protocol and the node's configuration."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

from load_balancer.policy.settings import Idempotency
from load_balancer.proxy.client_request import ClientRequest, ErrorResponse, HealthCheck
from load_balancer.proxy.clock import now_ms
from load_balancer.proxy.config import Config
from load_balancer.proxy.errors import InvalidRequestError
from load_balancer.proxy.messages import UpstreamRequest
from load_balancer.proxy.request_headers import RequestHeaders
from load_balancer.proxy.stable_id import stable_id

OVERLOAD_RETRY_AFTER_MS = 500.0  # about the time after which stalled clients have made room
HEALTH_PATH = b"/_health"
# Segments of "/class/.../key": an empty one, the request class, and any others, of which the last is the key.
_CLASS_SEGMENT, _FIRST_KEY_SEGMENT = 1, 2
_NO_KEY = 0


@dataclass(slots=True, frozen=True)
class _ClassRules:
    """Rules for the requests of one request class."""

    class_index: int
    """Index of the request class in the settings."""
    method: bytes
    """The only method allowed."""
    idempotency: Idempotency


class RequestValidator:
    """Converts parsed requests to ``ClientRequest`` or ``HealthCheck``, and rejects invalid ones."""

    def __init__(self, config: Config) -> None:
        self._tenants = config.tenants
        retry_after = min(OVERLOAD_RETRY_AFTER_MS, config.settings.max_retry_after) / 1000
        self._overload_headers = b"Retry-After: %.3f\r\n" % retry_after if retry_after else b""
        self._rules: dict[bytes, _ClassRules] = {}
        for name, class_index in config.classes.items():
            idempotency = config.settings.classes[class_index].idempotency
            method = b"GET" if idempotency is Idempotency.IDEMPOTENT else b"POST"
            self._rules[name] = _ClassRules(class_index, method, idempotency)

    def validate(
        self, method: bytes, url: bytes, headers: RequestHeaders, body: bytearray, keep_alive: bool
    ) -> ClientRequest | HealthCheck:
        """Return the validated request.

        For a POST request, Content-Length is appended to the forwarded lines of ``headers``. The returned
        request keeps ``body`` itself, not a copy.

        Raises:
            InvalidRequestError: The request is invalid; the error holds the status of the response.
        """
        if url == HEALTH_PATH:
            if method != b"GET":
                raise _method_not_allowed(b"GET")
            return HealthCheck(keep_alive)
        segments = url.partition(b"?")[0].split(b"/")
        rules = self._rules_for(segments)
        if method != rules.method:
            raise _method_not_allowed(rules.method)
        tenant = self._tenants.get(headers.tenant or b"") if self._tenants else 0
        if headers.malformed or not headers.client_request_id or headers.timeout is None or tenant is None:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST)
        _check_idempotency_key(headers, rules.idempotency)
        has_key = len(segments) > _FIRST_KEY_SEGMENT and segments[-1]
        return ClientRequest(
            message=_upstream_request(method, url, headers, body),
            client_request_id=headers.client_request_id,
            class_index=rules.class_index,
            tenant=tenant,
            key=stable_id(segments[-1]) if has_key else _NO_KEY,
            received_at=now_ms(),
            timeout=headers.timeout,
            cost_hint=headers.cost_hint,
            is_client_retry=headers.is_client_retry,
            must_run_once=rules.idempotency is Idempotency.NOT_IDEMPOTENT,
            keep_alive=keep_alive,
        )

    def overload_response(self, keep_alive: bool) -> ErrorResponse:
        """Return the response to a request that was not kept, for lack of memory."""
        return ErrorResponse(HTTPStatus.SERVICE_UNAVAILABLE, self._overload_headers, keep_alive)

    def _rules_for(self, segments: list[bytes]) -> _ClassRules:
        """Return the rules of the request class that the path names."""
        if segments[0] or len(segments) <= _CLASS_SEGMENT:
            raise InvalidRequestError(HTTPStatus.BAD_REQUEST)  # not an absolute path
        rules = self._rules.get(segments[_CLASS_SEGMENT])
        if rules is None:
            raise InvalidRequestError(HTTPStatus.NOT_FOUND)
        return rules


def _method_not_allowed(allowed: bytes) -> InvalidRequestError:
    return InvalidRequestError(HTTPStatus.METHOD_NOT_ALLOWED, b"Allow: %b\r\n" % allowed)


def _check_idempotency_key(headers: RequestHeaders, idempotency: Idempotency) -> None:
    """Raise unless there is a key for KEYED and none for NOT_IDEMPOTENT; IDEMPOTENT allows both."""
    if idempotency is Idempotency.IDEMPOTENT:
        return
    has_key = headers.idempotency_key is not None
    if has_key is not (idempotency is Idempotency.KEYED):
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST)


def _upstream_request(method: bytes, url: bytes, headers: RequestHeaders, body: bytearray) -> UpstreamRequest:
    """Return the message to forward; only a POST request may have a body."""
    lines = headers.forwarded_lines
    if method == b"POST":
        lines += b"Content-Length: %d\r\n" % len(body)
    elif body:
        raise InvalidRequestError(HTTPStatus.BAD_REQUEST)
    return UpstreamRequest(b"%b %b HTTP/1.1\r\n%b" % (method, url, lines), body)
