"""Adapter that runs load-balancing policies behind the simulator's binary protocol."""
