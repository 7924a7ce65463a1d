"""Operations: job statistics, operator overrides, reloads, and the state kept across a process upgrade."""
