"""A randomized fault soak of mesh nodes as processes.

Nodes, the store and the targets run as separate processes on loopback. Faults are
injected from outside: by signals, by a proxy between any two processes, and by the
stand-ins of the store and the targets. The checks use only what clients and targets
observe.
"""
