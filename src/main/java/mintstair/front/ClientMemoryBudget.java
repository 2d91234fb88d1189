package mintstair.front;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The budget for the heap that the requests of clients take, in bytes: as input, from the first byte that is read of a
 * request to its turn in the queue of commands, and in flight, until its final response. Shared by all fronts, which
 * share the heap. Runs on the event loop.
 *
 * <p>A client that waits for a response is not read on while its queue takes more than a share of what is left for
 * input. So one client alone can queue much, which lets its close be seen soon, and many clients can queue little each.
 *
 * <p>A client whose message is incomplete and that has no request in flight makes no progress without being read. While
 * the budget is exhausted such clients wait, and are read on one at a time, in the order in which they came to wait: once
 * there is room for a request in flight or, at the latest, after {@link #MAX_WAIT_MICROS}. A request for which there is
 * no room then is rejected at once, so that no client waits for requests that a host does not answer.
 */
public final class ClientMemoryBudget {
    /** How long a client waits until there is room for its request, in microseconds. */
    static final long MAX_WAIT_MICROS = 100_000;

    /** The part of the heap that input may take. */
    private static final int INPUT_DIVISOR = 8;
    /** The part of the heap that requests in flight may take. */
    private static final int IN_FLIGHT_DIVISOR = 4;
    /** A request that takes no more bytes than this is small: most requests of other clients are. */
    private static final int SMALL_REQUEST_BYTES = 16 * 1024;
    /** The part of the limit in flight that is reserved, in addition to it, for small requests. */
    private static final int RESERVE_DIVISOR = 4;
    /** The part of the remaining input above which the queue of a client pauses reading. */
    private static final int PAUSE_DIVISOR = 2;
    /** The part of the remaining input below which reading is resumed. */
    private static final int RESUME_DIVISOR = 4;

    private final long maxInputBytes;
    private final long maxInFlightBytes;
    private final Set<InputFlowControl> waiting = new LinkedHashSet<>();
    private long inputBytes;
    private long inFlightBytes;

    /** Creates a budget with these limits in bytes. */
    public ClientMemoryBudget(long maxInputBytes, long maxInFlightBytes) {
        this.maxInputBytes = maxInputBytes;
        this.maxInFlightBytes = maxInFlightBytes;
    }

    /** Returns the budget for a process that may use this number of bytes of heap. */
    public static ClientMemoryBudget ofHeap(long maxHeapBytes) {
        return new ClientMemoryBudget(maxHeapBytes / INPUT_DIVISOR, maxHeapBytes / IN_FLIGHT_DIVISOR);
    }

    /** Adds a change of the bytes that a client's incomplete message and queued commands take. */
    void addInput(long nowMicros, long changeBytes) {
        inputBytes += changeBytes;
        if (changeBytes < 0) {
            resumeFirst(nowMicros);
        }
    }

    /** Adds the bytes that a request takes while it is in flight. */
    void addInFlight(long bytes) {
        inFlightBytes += bytes;
    }

    /** Removes the bytes of a request that is no longer in flight. */
    void removeInFlight(long nowMicros, long bytes) {
        inFlightBytes -= bytes;
        if (bytes > 0) {
            resumeFirst(nowMicros);
        }
    }

    /** Returns the bytes that the input of all clients takes. */
    long inputBytes() {
        return inputBytes;
    }

    /** Returns the bytes that all requests in flight take. */
    long inFlightBytes() {
        return inFlightBytes;
    }

    /** Whether a request that takes this many bytes may be in flight too; a single one may always be. */
    boolean hasRoomInFlight(long bytes) {
        long reserve = bytes <= SMALL_REQUEST_BYTES ? maxInFlightBytes / RESERVE_DIVISOR : 0;
        return inFlightBytes == 0 || inFlightBytes + bytes <= maxInFlightBytes + reserve;
    }

    private boolean isExhausted() {
        return inputBytes >= maxInputBytes || isFullInFlight();
    }

    private boolean isFullInFlight() {
        return inFlightBytes >= maxInFlightBytes;
    }

    /**
     * Whether a client that waits for a response is not to be read now.
     *
     * @param queuedBytes the size of its queued commands
     * @param paused whether reading is paused already
     */
    boolean mustPause(int queuedBytes, boolean paused) {
        long remaining = Math.max(0, maxInputBytes - inputBytes);
        return remaining == 0 || queuedBytes > remaining / (paused ? RESUME_DIVISOR : PAUSE_DIVISOR);
    }

    /** Whether a client may be read to complete its message; if not, it waits until it is resumed. */
    boolean mayCompleteMessage(long nowMicros, InputFlowControl client) {
        if (!isExhausted()) {
            stopWaiting(nowMicros, client);
            return true;
        }
        if (waiting.add(client)) {
            client.waitsSince(nowMicros);
        }
        return waiting.iterator().next() == client && mayReadOne(nowMicros, client);
    }

    /** Whether the first client that waits may be read on, although the budget is exhausted. */
    private boolean mayReadOne(long nowMicros, InputFlowControl first) {
        return !isFullInFlight() || first.hasWaited(nowMicros, MAX_WAIT_MICROS);
    }

    /** Removes a client that need not be read to make progress, or that has disconnected. */
    void stopWaiting(long nowMicros, InputFlowControl client) {
        if (waiting.remove(client)) {
            resumeFirst(nowMicros);
        }
    }

    /** Whether the client waits for the rest of its message while the budget is exhausted. */
    boolean isWaiting(InputFlowControl client) {
        return waiting.contains(client);
    }

    private void resumeFirst(long nowMicros) {
        if (waiting.isEmpty()) {
            return;
        }
        InputFlowControl first = waiting.iterator().next();
        if (mayReadOne(nowMicros, first)) {
            first.resume();
        }
    }
}
