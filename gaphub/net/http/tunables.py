"""Time-outs, sizes and shares of the HTTP front, each with its unit.

Code reads a value here at the time of use (``tunables.LAST_BYTE_DELAY_S``), so that a test can replace it.
Settings of the operator belong in ``gaphub/config.py``, and state that changes at run time does not belong here.
"""

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 64 * 1024  # of a client's request
MAX_HEAD_FIELDS = 1_000  # as objects, short fields take fifty times the memory that they have on the wire
# Bytes that a client may send past its open request. A client that sends more is treated as flooding.
MAX_READ_AHEAD_BYTES = 4 * MAX_BODY_BYTES
# Read before a job is started, to see whether its client has left behind what it sent.
MAX_LOOK_AHEAD_BYTES = 16 * 1024 * 1024
# A client that has sent so much may have been stopped by the receive window, and its kernel may need so long to
# send the rest: at least the minimum of its retransmission time-out.
STALLED_SENDER_BYTES = 64 * 1024
STALLED_SENDER_S = 0.25
MAX_ANSWER_LINE_BYTES = 512 * 1024  # fits a result of 64 KiB with every byte escaped
READ_CHUNK_BYTES = 64 * 1024  # read from a socket at once
SHORT_READ_BYTES = 2 * 1024  # the same for clients, while memory for them is lacking
PARSE_BYTES = 2 * 1024  # parsed at once, before other connections have their turn
CLIENT_READ_BYTES = 32 * 1024  # read from a client's socket at once
READER_LIMIT_BYTES = 16 * 1024  # a client's unparsed bytes, of which twice as many pause the reading
OUTPUT_LIMIT_BYTES = 16 * 1024  # answers that a client has not taken, above which no further one is begun
INBOUND_SOCKET_SHARE = 0.5  # of the descriptors, for clients; those with open requests hold up to a third
OUTBOUND_SOCKET_SHARE = 0.4  # of the descriptors, for workers
MAX_SEGMENT_BYTES = 8 * 1024  # well below the receive buffer; see ``limit_segments``
CONNECTION_MEMORY_SHARE = 0.5  # of the memory for clients, for their connections themselves
RECEIVE_BUFFER_BYTES = 32 * 1024  # kernel buffer for unread bytes per inbound connection
ANSWER_BUFFER_BYTES = 64 * 1024  # kernel buffer for answers that a client has yet to read
# From directing new connections to the successor until the old listener stops accepting.
HANDOVER_DELAY_S = 0.1
# From connecting to the end of the first valid request. A well-behaved client may take 2 s to write a request;
# one that stops halfway must get an error or a close within 3 s.
FIRST_REQUEST_TIMEOUT_S = 2.5
# An inbound connection may be evicted once it was idle for this long as seen by this process, or for this long as
# seen by the kernel, which includes its time in the accept queue. Indexed by ``EvictionClass`` in session.py.
EVICTION_IDLE_MS = (100.0, 250.0, 1000.0)
EVICTION_KERNEL_IDLE_MS = (500.0, 750.0, 1000.0)
MAX_EVICTIONS_PER_S = 2_000.0  # clients that reconnect after each eviction must not use up a whole core
MAX_EVICTION_SHARE = 1 / 2  # of the clients' connections, in one pass
REQUEST_TIMEOUT_S = 2.5  # from the first byte of a later request to its last
# A client that is still writing gets longer: this long after its last bytes, and up to this long in all. A process
# that stalls for 0.15 s then still ends the request within 3 s.
SLOW_WRITER_GRACE_S = 0.3
SLOW_WRITER_TIMEOUT_S = 2.8
PIPELINED_REQUEST_MIN_S = 0.25  # minimum from a request's turn, if its first byte came long before
ANSWER_WRITE_TIMEOUT_S = 10.0  # for a client to read an answer
ERROR_LINGER_S = 0.4  # lets a client that is still sending read an error before the connection is closed
MAX_ERROR_LINGER_BYTES = 256 * 1024  # read and discarded meanwhile
# The input of a flooding client is discarded but still read, because its close can only be seen behind what it has
# sent. All flooding clients together get one read per interval.
FLOOD_READ_INTERVAL_S = 0.001
# A request's last byte is held back for this long; by then the reset of a stale connection has arrived.
LAST_BYTE_DELAY_S = 0.004
# A worker may close a reused connection on receiving a whole request, which may then have run. A job that is not
# safe to repeat gets a new connection while more than this share of reused connections ends like that.
MAX_STALE_SHARE = 0.03
STALE_SHARE_SMOOTHING = 0.05  # weight of the newest request in the moving average of that share
# Subtracted, with LAST_BYTE_DELAY_S, from the time left that an attempt's X-Timeout states, because the last byte
# leaves later than the head. If writing takes longer than that, the head is written anew.
TIMEOUT_HEADER_MARGIN_MS = 50.0
LOCAL_RETRY_DELAY_S = 0.01  # after a local failure to open a connection
LOCAL_RETRY_LIMIT_S = 1.0  # a local failure that lasts longer is not transient
# Send buffer of a connection to a worker. Bytes that do not fit into it are known to be unsent.
SEND_BUFFER_BYTES = 8 * 1024
PROBE_TIMEOUT_S = 0.2
IDLE_TIMEOUT_SHARE = 0.5  # of the time after which the worker's machine closes an idle connection
ANSWER_END_TIMEOUT_S = 1.0  # for the rest of an answer whose result was received
# Subtracted from X-Timeout: how far a client's clock may be ahead when its last byte arrives here.
TRANSIT_ALLOWANCE_MS = 5.0
DRAIN_ACCEPT_S = 0.45  # new connections keep coming for this long after SIGTERM
# SIGKILL follows SIGTERM no sooner than the longest deadline, of which at most DRAIN_MAX_DEADLINE_MS counts, plus
# DRAIN_EXTRA_MS. Requests received more than DRAIN_EXTRA_MS after SIGTERM must be answered by then.
DRAIN_MAX_DEADLINE_MS = 3000.0
DRAIN_EXTRA_MS = 700.0
DRAIN_SLACK_MS = 250.0  # answers are sent at least this long before SIGKILL
DRAIN_LAST_ACCEPT_MS = 100.0  # after the drain's end, for accepting connections that are still queued
DRAIN_MIN_LEFT_MS = 1000.0  # connections are no longer kept open for new requests with less time left
DRAIN_RETRY_AFTER_MS = 500.0  # sent to clients whose job is refused during the drain
DRAIN_IDLE_S = 0.3  # connections idle for longer are closed; one idle for less may be about to carry a request
DRAIN_LAST_IDLE_S = 0.05  # the same once the drain's end has passed
REAP_INTERVAL_S = 1.0
