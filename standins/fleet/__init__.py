"""Runs nodes, targets and a platform in one process and injects faults."""
