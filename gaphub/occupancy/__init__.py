"""How schedulers tell each other the slots that they have out at each worker; no I/O, no clock, no randomness.

``exchange`` is the interface; ``choice`` and ``sized`` choose a way behind it.  ``all_to_all`` is the way of small
fleets, made of ``messages``, ``ledger`` and ``pacing``.  ``sharded`` is that of large ones, through aggregators,
made of ``assignment``, ``identity``, ``sums_messages``, ``reports``, ``aggregator``, ``sums`` and ``budget``: see
docs/design/occupancy-at-size.md.
"""
