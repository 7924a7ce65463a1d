"""Decisions of a dispatcher beside each submitter that pushes jobs to workers."""

__version__ = "0.1.0"
