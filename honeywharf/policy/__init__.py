"""The parts of the balancer's decisions, each with its state: one concern a module."""
