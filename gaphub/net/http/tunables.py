"""Time-outs, sizes and shares of the HTTP front, each with its unit.

Code reads a value here at the time of use (``tunables.HOLD_S``), so that a test can replace it.
Settings of the operator belong in ``gaphub/config.py``, and state that changes at run time does not belong here.
"""

BODY_MOST = 64 * 1024
# Bytes that a client may send past its open request. A client that sends more is treated as flooding.
AHEAD_MOST = 4 * BODY_MOST
LINE_MOST = 512 * 1024  # fits a result of 64 KiB with every byte escaped
READ = 64 * 1024
INBOUND_PART = 0.5  # of the descriptors, for clients; those with open requests hold up to a third
OUTBOUND_PART = 0.4  # of the descriptors, for workers
BODIES_PART = 0.08  # of the memory limit, for request bodies that are still being received
RECEIVE = 32 * 1024  # unread bytes per inbound connection
# From directing new connections to the successor until the old listener stops accepting.
HAND_OVER_S = 0.1
# From connecting to the end of the first valid request. A well-behaved client may take 2 s to write a request;
# one that stops halfway must get an error or a close within 3 s.
FRESH_S = 2.5
# An inbound connection may be evicted once it was idle for this long as seen by this process, or for this long as
# seen by the kernel, which includes its time in the accept queue. Indexed by ``Place`` in session.py.
YIELD_MS = (100.0, 250.0, 1000.0)
YIELD_UNHEARD_MS = (500.0, 750.0, 1000.0)
YIELD_PER_S = 2_000.0  # clients that reconnect after each eviction must not use up a whole core
YIELD_PART = 1 / 2  # of the clients' connections, in one pass
REQUEST_S = 2.5  # from the first byte of a later request to its last
# A client that is still writing gets longer: this long after its last bytes, and up to this long in all. A process
# that is held up for 0.15 s then still ends the request within 3 s.
WRITING_S = 0.3
WRITING_MOST_S = 2.8
TURN_S = 0.25  # minimum from a request's turn, if its first byte came long before
TAKE_S = 10.0  # for a client to read an answer
LINGER_ERROR_S = 0.4  # lets a client that is still sending read an error before the connection is closed
LINGER_MOST = 256 * 1024  # read and discarded meanwhile
# The input of a flooding client is discarded but still read, because its close can only be seen behind what it has
# sent. All flooding clients together get one read per interval.
DROP_S = 0.001
# A request's last byte is held back for this long; by then a dead connection has shown itself.
HOLD_S = 0.004
# A worker may close a reused connection on receiving a whole request, which may then have run. A job that is not
# safe to repeat gets a new connection while more than this share of reused connections ends like that.
STALE = 0.03
STALE_STEP = 0.05  # weight of the newest request in the moving average of that share
# Subtracted, with HOLD_S, from the time left that an attempt's X-Timeout states, because the last byte
# leaves later than the head. If writing takes longer than that, the head is written anew.
TOLD_LESS_MS = 50.0
LOCAL_AGAIN_S = 0.01  # after a local failure to open a connection
LOCAL_MOST_S = 1.0  # a local failure that lasts longer is not transient
# Send buffer of a connection to a worker. Bytes that do not fit into it are known to be unsent.
SEND = 8 * 1024
PROBE_S = 0.2
IDLE_PART = 0.5  # of the time after which the worker's machine closes an idle connection
TAIL_S = 1.0  # for the rest of an answer whose result was received
# Subtracted from X-Timeout: how far a client's clock may be ahead when its first byte is read here.
TRAVEL_MS = 5.0
LINGER_S = 0.45  # new connections keep coming for this long after SIGTERM
# SIGKILL follows SIGTERM no sooner than the longest deadline, of which at most LEAVE_MOST_MS counts, plus
# LEAVE_MORE_MS. Requests received more than LEAVE_MORE_MS after SIGTERM must be answered by then.
LEAVE_MOST_MS = 3000.0
LEAVE_MORE_MS = 700.0
LEAVE_SLACK_MS = 250.0  # answers are sent at least this long before SIGKILL
LEAVE_LAST_MS = 100.0  # after the drain's end, for accepting connections that are still queued
LEAVE_LEAST_MS = 1000.0  # connections are no longer kept open for new requests with less time left
# In multiples of the class's latency target: with less time left a job that is not safe to repeat is refused.
LEAVE_AIMS = 1.5
LEAVE_RETURN_MS = 500.0  # sent to clients whose job is refused during the drain
IDLE_LEAVING_S = 0.3  # idle connections older than this are closed; a newer one may be about to carry a request
IDLE_LAST_S = 0.05  # the same once the drain's end has passed
REAP_S = 1.0
