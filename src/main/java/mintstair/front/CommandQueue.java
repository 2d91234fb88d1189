package mintstair.front;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/**
 * The commands that a client has pipelined, in order, and the received part of an incomplete message. Runs on the event
 * loop. The queue neither blocks nor drops commands at its limits: the session ends a client for which
 * {@link #isOverLimit} is true.
 */
final class CommandQueue {
    private static final int MAX_BYTES = 512 * 1024;
    private static final int MAX_COMMANDS = 64;
    private static final long NEVER = Long.MAX_VALUE;

    /** One complete message, and the time at which its last byte was read. */
    record Command(byte[] message, long readAtMicros) {}

    private final Framer framer;
    private final LongSupplier clockMicros;
    private final ArrayDeque<Command> commands = new ArrayDeque<>();
    private int commandBytes;
    private int accountedBytes;
    private long partialSinceMicros = NEVER;

    CommandQueue(Framer framer, LongSupplier clockMicros) {
        this.framer = framer;
        this.clockMicros = clockMicros;
    }

    /**
     * Parses the bytes and queues each message that they complete.
     *
     * @throws ProtocolException if the bytes cannot be parsed; the messages before the error are queued, and the rest
     *     is discarded
     */
    void append(ByteBuffer bytes, long readAtMicros) {
        boolean isContinuation = hasPartialMessage();
        framer.feed(bytes);
        try {
            for (byte[] message = framer.next(); message != null; message = framer.next()) {
                commands.add(new Command(message, readAtMicros));
                commandBytes += message.length;
                isContinuation = false;
            }
        } catch (ProtocolException e) {
            discardPartialMessage();
            throw e;
        }
        if (!hasPartialMessage()) {
            partialSinceMicros = NEVER;
        } else if (!isContinuation) {
            partialSinceMicros = clockMicros.getAsLong();
        }
    }

    /** Removes and returns the first command, or returns null if there is none. */
    Command poll() {
        Command next = commands.poll();
        if (next != null) {
            commandBytes -= next.message.length;
        }
        return next;
    }

    /** Whether no complete command is queued. */
    boolean isEmpty() {
        return commands.isEmpty();
    }

    /** Whether an incomplete message has been received. */
    boolean hasPartialMessage() {
        return framer.pending() > 0;
    }

    /** Returns how long the incomplete message has been waiting for its rest; 0 if there is none. */
    long partialMessageAgeMicros(long nowMicros) {
        return nowMicros - Math.min(nowMicros, partialSinceMicros);
    }

    /** Returns the change of the bytes held by this queue since the last call of this method. */
    int heldBytesChange() {
        int change = framer.pending() + commandBytes - accountedBytes;
        accountedBytes += change;
        return change;
    }

    /** Whether the client exceeds the limits on pipelining; bytes count as of the last {@link #heldBytesChange}. */
    boolean isOverLimit() {
        return accountedBytes > MAX_BYTES || commands.size() > MAX_COMMANDS;
    }

    /** Discards all commands and the incomplete message. */
    void clear() {
        discardPartialMessage();
        commands.clear();
        commandBytes = 0;
    }

    private void discardPartialMessage() {
        framer.clear();
        partialSinceMicros = NEVER;
    }
}
