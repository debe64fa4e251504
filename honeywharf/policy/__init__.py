"""The policies of the balancer. Each module makes one kind of decision or holds state for the others."""
