package mintstair.front;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/**
 * The commands that a client has sent ahead of its responses (pipelining), in order, and the start of the message that
 * is still incomplete. Runs on the event loop. It does not block or drop anything at its limits: the session ends a
 * client for which {@link #isOverLimit} is true.
 */
final class CommandQueue {
    private static final int MAX_BYTES = 512 * 1024;
    private static final int MAX_COMMANDS = 64;
    private static final long NEVER = Long.MAX_VALUE;

    /** One whole message, and when its last byte was read. */
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
     * @throws ProtocolException where they cannot be parsed; the messages before the error are queued, the rest is
     *     discarded
     */
    void append(ByteBuffer bytes, long readAtMicros) {
        boolean samePartial = hasPartialMessage();
        framer.feed(bytes);
        try {
            for (byte[] message = framer.next(); message != null; message = framer.next()) {
                commands.add(new Command(message, readAtMicros));
                commandBytes += message.length;
                samePartial = false;
            }
        } catch (ProtocolException e) {
            discardPartialMessage();
            throw e;
        }
        if (!hasPartialMessage()) {
            partialSinceMicros = NEVER;
        } else if (!samePartial) {
            partialSinceMicros = clockMicros.getAsLong();
        }
    }

    /** Removes and returns the first command, or null where there is none. */
    Command poll() {
        Command next = commands.poll();
        if (next != null) {
            commandBytes -= next.message.length;
        }
        return next;
    }

    /** Whether no whole command is queued. */
    boolean isEmpty() {
        return commands.isEmpty();
    }

    /** Whether the start of a message was read and its end was not. */
    boolean hasPartialMessage() {
        return framer.pending() > 0;
    }

    /** For how many microseconds the rest of a message has been missing; 0 where none is. */
    long partialForMicros(long nowMicros) {
        return nowMicros - Math.min(nowMicros, partialSinceMicros);
    }

    /** By how many bytes the memory held by this queue has changed since the last call. */
    int heldBytesChange() {
        int change = framer.pending() + commandBytes - accountedBytes;
        accountedBytes += change;
        return change;
    }

    /** Whether the client has sent more ahead of its responses than one client may, as of {@link #heldBytesChange}. */
    boolean isOverLimit() {
        return accountedBytes > MAX_BYTES || commands.size() > MAX_COMMANDS;
    }

    /** Discards everything. */
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
