"""The decisions of a load balancer, as a library that does no I/O."""

from honeywharf.balancer import Balancer

__all__ = ["Balancer"]
