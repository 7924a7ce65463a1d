"""The parts of the Gearman protocol that do no input or output: packets, job queues, schedules, TLS contexts."""
