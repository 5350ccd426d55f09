"""A randomized fault soak of mesh nodes as processes.

Nodes, the store and the instances run as separate processes on loopback. Faults come
from outside them: signals, a proxy between any two of them, and what the stand-ins
can do. The checks judge only what clients and instances see.
"""
