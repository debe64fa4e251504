"""The state behind the decisions of the balancer, one concern a module."""
