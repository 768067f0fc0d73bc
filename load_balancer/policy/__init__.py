"""Load-balancing policy: the decisions of the proxy, without any I/O."""

from load_balancer.policy.engine import Policy
from load_balancer.policy.settings import Settings

__all__ = ["Policy", "Settings"]
