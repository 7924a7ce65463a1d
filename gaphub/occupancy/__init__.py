"""How schedulers tell each other the slots that they have out at each worker; no I/O, no clock, no randomness."""
