"""The policies of the balancer: each module makes one kind of decision and keeps the state for it."""
