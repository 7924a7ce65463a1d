"""Announcement of the service address to routers by BGP-4, with BFD."""
