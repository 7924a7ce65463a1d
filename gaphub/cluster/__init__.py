"""The cluster: leader election with leases for the service address, and authenticated messages."""
