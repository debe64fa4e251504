"""A seeded soak: a real proxy process between stand-ins on loopback, under faults that a seed draws.

`python -m soak --seeds 50` plays fifty seeds and reports which rule each of them broke.
"""
