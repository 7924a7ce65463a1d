"""Recovery after a mass restart or lost state: pure rules of trust, pacing and slow start; no I/O."""
