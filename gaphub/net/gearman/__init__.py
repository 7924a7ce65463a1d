"""The Gearman front: its listening socket, the sessions of clients and workers, and their jobs.

``front`` is the front itself and the core's port for Gearman's workers.  The protocol's packets and the queues
are in gaphub/gearman, which opens no socket.
"""

from __future__ import annotations

from .front import SOCKET_SHARE, SOURCE, GearmanFrontEnd

__all__ = ["SOCKET_SHARE", "SOURCE", "GearmanFrontEnd"]
