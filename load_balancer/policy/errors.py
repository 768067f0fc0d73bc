"""Errors that the policy raises for events that it can't handle."""

from __future__ import annotations


class PolicyError(Exception):
    """Base class of the errors that the policy raises."""


class UnknownClassError(PolicyError, LookupError):
    """A request has a class that is not defined in the settings."""

    def __init__(self, class_index: int) -> None:
        super().__init__(f"request class {class_index} is not defined in the settings")


class UnknownTenantError(PolicyError, LookupError):
    """A request has a tenant that is not defined in the settings."""

    def __init__(self, tenant: int) -> None:
        super().__init__(f"tenant {tenant} is not defined in the settings")
