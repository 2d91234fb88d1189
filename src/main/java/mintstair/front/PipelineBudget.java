package mintstair.front;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The budget for the input that the clients of a front have sent ahead of its responses, in bytes of heap. Runs on the
 * event loop.
 *
 * <p>A client whose queue takes more than a share of what is left of the budget is not read on. So one client alone can
 * queue much, which lets its close be seen soon, and many clients can queue little each. A client whose message is
 * incomplete and that has no request in flight makes no progress without being read: while the budget is exhausted,
 * such clients are read on one at a time, in the order in which they came to wait.
 */
final class PipelineBudget {
    /** Bounds the share of a heap of 64 MiB. */
    static final long MAX_BYTES = 8L * 1024 * 1024;
    /** The part of the remaining budget above which the queue of a client pauses reading. */
    private static final int PAUSE_DIVISOR = 2;
    /** The part of the remaining budget below which reading is resumed. */
    private static final int RESUME_DIVISOR = 4;

    private final Set<InputFlowControl> waiting = new LinkedHashSet<>();
    private long heldBytes;

    /** Adds a change of the bytes that a client holds. */
    void add(int changeBytes) {
        heldBytes += changeBytes;
        if (changeBytes < 0 && !isExhausted()) {
            resumeFirst();
        }
    }

    /** Returns the bytes that all clients hold. */
    long heldBytes() {
        return heldBytes;
    }

    private boolean isExhausted() {
        return heldBytes >= MAX_BYTES;
    }

    /**
     * Whether a client that waits for a response is not to be read now.
     *
     * @param queuedBytes the size of its queued commands
     * @param paused whether reading is paused already
     */
    boolean mustPause(int queuedBytes, boolean paused) {
        long remaining = Math.max(0, MAX_BYTES - heldBytes);
        return isExhausted() || queuedBytes > remaining / (paused ? RESUME_DIVISOR : PAUSE_DIVISOR);
    }

    /** Whether a client may be read to complete its message; if not, it waits until it is resumed. */
    boolean mayCompleteMessage(InputFlowControl client) {
        if (!isExhausted()) {
            stopWaiting(client);
            return true;
        }
        waiting.add(client);
        return waiting.iterator().next() == client;
    }

    /** Removes a client that need not be read to make progress, or that has disconnected. */
    void stopWaiting(InputFlowControl client) {
        if (waiting.remove(client)) {
            resumeFirst();
        }
    }

    /** Whether the client waits for the rest of its message while the budget is exhausted. */
    boolean isWaiting(InputFlowControl client) {
        return waiting.contains(client);
    }

    private void resumeFirst() {
        if (!waiting.isEmpty()) {
            waiting.iterator().next().resume();
        }
    }
}
