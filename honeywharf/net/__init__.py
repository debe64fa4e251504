"""The proxy around the balancer: sockets, timers, configuration and service discovery."""
