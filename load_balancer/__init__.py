"""A load-balancing HTTP proxy: its decisions, the node that carries them out, and the simulator adapter."""
