"""Experiments with real schedulers among stand-ins on loopback; the scheduler never imports this package."""
