"""How schedulers exchange their slots out at each worker; no I/O, no clock, no randomness.

``exchange`` is the interface; ``choice`` and ``sized`` choose the implementation.  ``all_to_all``, for small
fleets, is made of ``messages``, ``peer_counts`` and ``pacing``.  ``sharded``, for large fleets, goes through
aggregators and is made of ``assignment``, ``identity``, ``sums_messages``, ``reports``, ``aggregator``, ``sums``
and ``budget``; see docs/design/occupancy-at-size.md.  ``status`` is what operators are shown.
"""
