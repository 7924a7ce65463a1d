"""The Gearman front end: its listening socket, the sessions of clients and workers, and their jobs.

``front`` contains the front end, which is also the core's port for Gearman workers.  The packet format and the
queues are in gaphub/gearman, which opens no sockets.
"""

from __future__ import annotations

from .front import SOCKET_SHARE, SOURCE, GearmanFrontEnd

__all__ = ["SOCKET_SHARE", "SOURCE", "GearmanFrontEnd"]
