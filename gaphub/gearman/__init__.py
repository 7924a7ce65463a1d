"""The Gearman protocol's own decisions: queues that hold jobs before the core takes them."""
