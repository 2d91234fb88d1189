package mintstair.front;

import java.util.Optional;
import mintstair.wire.SocketState;

/**
 * Decides when the input of one client is read. A client that sends commands ahead of their responses is not read on
 * while its queue takes too much of the {@link PipelineBudget}. Its input then stays in the kernel, which slows down the
 * client, and each command that it has sent is answered in turn. Runs on the event loop.
 */
final class InputFlowControl {
    private final SessionInput input;
    private final CommandQueue commands;
    private final PipelineBudget budget;

    InputFlowControl(SessionInput input, CommandQueue commands, PipelineBudget budget) {
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
        budget.add(commands.heldBytesChange());
        if (responsePending || !commands.isEmpty()) {
            budget.stopWaiting(this);
            boolean pause = budget.mustPause(commands.queuedBytes(), input.isPaused());
            input.setPaused(pause && !input.isDiscarding());
        } else if (commands.hasPartialMessage() && !input.isDiscarding()) {
            input.setPaused(!budget.mayCompleteMessage(this));
        } else {
            budget.stopWaiting(this);
            resume();
        }
    }

    /** Reads the client on. */
    void resume() {
        input.setPaused(false);
    }

    /** Discards the incomplete message, and reads and discards the rest of the input. */
    void discardInput() {
        input.discard();
        commands.discardPartialMessage();
        budget.stopWaiting(this);
        resume();
    }

    /** Discards the queued commands and all input that follows. */
    void discardAll() {
        discardInput();
        release();
    }

    /** Releases what the client holds when its session ends. */
    void release() {
        commands.clear();
        budget.add(commands.heldBytesChange());
        budget.stopWaiting(this);
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
            budget.stopWaiting(this);
            resume();
        }
        return socket.map(SocketState::isClosedByPeer).orElse(false);
    }
}
