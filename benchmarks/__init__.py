"""Benchmarks of the node and its policy at fleet sizes beyond those of current deployments."""
