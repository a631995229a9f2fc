"""Randomized soak of the gateway: runs real processes, injects faults from outside and checks guarantees."""
