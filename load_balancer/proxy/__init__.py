"""Load-balancing HTTP proxy node: network I/O and HTTP, around the decisions of ``load_balancer.policy``."""
