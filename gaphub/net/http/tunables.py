"""Owns the tunables of the HTTP front: its times, sizes and shares, each with its unit.

Whoever uses one reads it here at the time of use (``tunables.HOLD_S``), so that a test may set another value.
It must never hold what an operator sets (that is in gaphub/config.py), nor anything that changes by itself.
"""

BODY_MOST = 64 * 1024
AHEAD_MOST = 4 * BODY_MOST  # bytes that one client may have sent past its open request; it floods with more
LINE_MOST = 512 * 1024  # a result of 64 KiB with every byte escaped
READ = 64 * 1024
INBOUND_PART = 0.5  # of the descriptors, for clients; those with requests hold up to a third
OUTBOUND_PART = 0.4  # and for workers
BODIES_PART = 0.08  # of the memory, for bodies that are still coming
RECEIVE = 32 * 1024  # bytes of a connection that wait to be read
HAND_OVER_S = 0.1  # from giving new connections to a successor to the last look at the old listener
# A good client may take 2 s to write a request; one that stops is owed an error or a close within 3 s.
FRESH_S = 2.5  # from a connection's start to the end of its first good request
# A connection makes room when it has been idle for so long before this process, or for so long by the kernel,
# which counts its time in the accept queue; by Place, in session.py.
YIELD_MS = (100.0, 250.0, 1000.0)
YIELD_UNHEARD_MS = (500.0, 750.0, 1000.0)
YIELD_PER_S = 2_000.0  # connections that make room, at most: a crowd that comes again must not take a whole core
YIELD_PART = 1 / 2  # of the clients' connections, at one look
REQUEST_S = 2.5  # from a later request's first byte to its last
# Who goes on writing has a little longer: until so long after its last bytes, and so long in all.  A process that
# is held up for 0.15 s then still ends within the 3 s that are owed.
WRITING_S = 0.3
WRITING_MOST_S = 2.8
TURN_S = 0.25  # at the least from its turn, for one whose first byte came long before
TAKE_S = 10.0  # for a client to take an answer
LINGER_ERROR_S = 0.4  # after an error, for a client that still sends to read it
LINGER_MOST = 256 * 1024  # bytes that are read and dropped meanwhile
# A client that has sent AHEAD_MOST past its open request is read on, so that its leaving is seen behind what it
# sent, but what comes is dropped: a chunk in so long, over all such clients together.
DROP_S = 0.001
HOLD_S = 0.004  # a job's last byte is held back for so long; a connection that is dead shows it by then
# Workers may end a kept connection when the next request has come in whole, and then that may have run.
# A never-twice job takes a new connection while more than this share of the kept ones ends so.
STALE = 0.03
STALE_STEP = 0.05  # share; how fast the view of that share moves with each request on a kept connection
# An attempt tells its worker so much less than is left, as its last byte goes out later; a head that has grown
# older by then is written anew.
TOLD_LESS_MS = 50.0  # beside HOLD_S
LOCAL_AGAIN_S = 0.01  # after this machine has failed to make a connection
LOCAL_MOST_S = 1.0  # for so long; what fails for longer is not a thing of a moment
SEND = 8 * 1024  # bytes of a connection to a worker that wait in the kernel: what is past it, we know is not out
PROBE_S = 0.2
IDLE_PART = 0.5  # of the time after which the worker's machine closes an idle connection
TAIL_S = 1.0  # for the end of an answer whose result is in
TRAVEL_MS = 5.0  # what a client's clock may be ahead of ours when its first byte is read
LINGER_S = 0.45  # after SIGTERM new connections go on coming for so long
# From SIGTERM to SIGKILL is at least the longest deadline, counted as LEAVE_MOST_MS where it is longer, and
# LEAVE_MORE_MS; who asks later than that second time must have an answer by then.
LEAVE_MOST_MS = 3000.0
LEAVE_MORE_MS = 700.0
LEAVE_SLACK_MS = 250.0  # an answer is out so long before
LEAVE_LAST_MS = 100.0  # past that time, those who wait to be accepted then are taken in yet
LEAVE_LEAST_MS = 1000.0  # with less time left nothing new is begun
LEAVE_AIMS = 1.5  # of a never-twice class's aim; with less time left its job had better not begin
LEAVE_RETURN_MS = 500.0
IDLE_LEAVING_S = 0.3  # a connection idle for so long then is closed; a newer one may hold a request
IDLE_LAST_S = 0.05  # and for so long when all must be answered
REAP_S = 1.0
