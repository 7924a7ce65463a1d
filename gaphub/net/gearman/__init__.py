"""The Gearman front: its listening socket, the sessions of clients and workers, and their jobs.

``front`` is the front itself and the core's port for Gearman's workers.  The protocol's packets and the queues
are in gaphub/gearman, which opens no socket.
"""

from __future__ import annotations

from .front import SESSIONS_PART, SOURCE, Gearman

__all__ = ["SESSIONS_PART", "SOURCE", "Gearman"]
