"""The randomized soak of the gateway: real processes, faults from outside, promises checked."""
