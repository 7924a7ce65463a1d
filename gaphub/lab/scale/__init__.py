"""Measures what control traffic costs a scheduler: real scheduler processes among simulated ones."""
