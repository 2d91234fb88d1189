package mintstair.front;

import java.util.Optional;
import java.util.function.LongSupplier;
import mintstair.wire.SocketState;

/**
 * Decides when the input of one client is read. A client that sends commands ahead of their responses is not read on
 * while its queue takes too much of the {@link ClientMemoryBudget}. Its input then stays in the kernel, which slows down the
 * client, and each command that it has sent is answered in turn. Runs on the event loop.
 */
final class InputFlowControl {
    private final SessionInput input;
    private final CommandQueue commands;
    private final ClientMemoryBudget budget;
    private final LongSupplier clockMicros;
    /** The heap that the request in flight takes; 0 if there is none. */
    private long inFlightBytes;

    /** Since when the client has waited for the budget; meaningless unless it does. */
    private long waitsSinceMicros;

    InputFlowControl(SessionInput input, CommandQueue commands, ClientMemoryBudget budget, LongSupplier clockMicros) {
        this.clockMicros = clockMicros;
        this.input = input;
        this.commands = commands;
        this.budget = budget;
    }

    /**
     * Pauses or resumes reading after a change of the queue, or of the responses that the client waits for.
     *
     * @param responsePending whether a request is in flight or a response is being written
     */
    void update(boolean responsePending) {
        budget.addInput(clockMicros.getAsLong(), commands.heldBytesChange());
        if (responsePending || !commands.isEmpty()) {
            budget.stopWaiting(clockMicros.getAsLong(), this);
            boolean pause = budget.mustPause(commands.queuedBytes(), input.isPaused());
            input.setPaused(pause && !input.isDiscarding());
        } else if (commands.hasPartialMessage() && !input.isDiscarding()) {
            input.setPaused(!budget.mayCompleteMessage(clockMicros.getAsLong(), this));
        } else {
            budget.stopWaiting(clockMicros.getAsLong(), this);
            resume();
        }
    }

    /** Records that the client begins to wait for the budget. */
    void waitsSince(long nowMicros) {
        waitsSinceMicros = nowMicros;
    }

    /** Whether the client has waited for the budget for this long. */
    boolean hasWaited(long nowMicros, long micros) {
        return nowMicros - waitsSinceMicros >= micros;
    }

    /** Whether there is room for a request of the client that takes this much heap. */
    boolean hasRoomFor(long heapBytes) {
        return budget.hasRoomInFlight(heapBytes);
    }

    /** Reads the client on. */
    void resume() {
        input.setPaused(false);
    }

    /** Discards the incomplete message, and reads and discards the rest of the input. */
    void discardInput() {
        input.discard();
        commands.discardPartialMessage();
        budget.stopWaiting(clockMicros.getAsLong(), this);
        resume();
    }

    /** Discards the queued commands and all input that follows. */
    void discardAll() {
        discardInput();
        releaseInput();
    }

    /** Records that a request which takes this much heap is in flight, the only one of its client. */
    void requestStarted(long heapBytes) {
        inFlightBytes = heapBytes;
        budget.addInFlight(heapBytes);
    }

    /** Records that no request of the client is in flight any more. */
    void requestEnded() {
        long endedBytes = inFlightBytes;
        inFlightBytes = 0;
        budget.removeInFlight(clockMicros.getAsLong(), endedBytes);
    }

    /** Releases what the client holds when its session ends. */
    void release() {
        requestEnded();
        releaseInput();
    }

    private void releaseInput() {
        commands.clear();
        budget.addInput(clockMicros.getAsLong(), commands.heldBytesChange());
        budget.stopWaiting(clockMicros.getAsLong(), this);
    }

    /**
     * Checks a client whose input may be unread; called periodically. The time for the rest of its message is extended
     * while that rest may be unread.
     *
     * @return whether the client has disconnected
     */
    boolean checkUnread(long nowMicros) {
        if (!input.isPaused() && !budget.isWaiting(this)) {
            return false;
        }
        Optional<SocketState> socket = input.socketState();
        if (socket.map(SocketState::hasUnreadInput).orElse(true)) {
            commands.restartPartialMessageTimeout(nowMicros);
        } else if (budget.isWaiting(this)) {
            // The client itself delays its message, and must not keep others waiting.
            budget.stopWaiting(clockMicros.getAsLong(), this);
            resume();
        }
        return socket.map(SocketState::isClosedByPeer).orElse(false);
    }
}
