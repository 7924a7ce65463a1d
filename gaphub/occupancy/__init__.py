"""How schedulers tell each other the slots that they have out at each worker; no I/O, no clock, no randomness.

``exchange`` is the interface and the way all to all, made of ``messages``, ``ledger`` and ``pacing``.  ``sharded`` is
the way through aggregators, made of ``assignment``, ``identity``, ``sums_messages``, ``reports``, ``aggregator``,
``sums`` and ``budget``: see docs/design/occupancy-at-size.md.
"""
