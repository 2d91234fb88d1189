package mintstair.front;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.function.LongSupplier;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/**
 * The commands that a client has pipelined, in order, and the received part of an incomplete message. Runs on the event
 * loop. The queue neither blocks nor drops commands: {@link InputFlowControl} stops reading a client whose queue is too
 * long.
 */
final class CommandQueue {
    /** The heap that a queued command needs besides its message: the objects and the entry of the queue. */
    static final int COMMAND_OVERHEAD_BYTES = 64;

    private static final long NEVER = Long.MAX_VALUE;

    /** One complete message, and the time at which its last byte was read. */
    record Command(byte[] message, long readAtMicros) {
        /** Returns the heap that the command needs, in bytes. */
        int heapBytes() {
            return message.length + COMMAND_OVERHEAD_BYTES;
        }
    }

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
                Command command = new Command(message, readAtMicros);
                commands.add(command);
                commandBytes += command.heapBytes();
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
            commandBytes -= next.heapBytes();
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

    /** Restarts the time for the rest of the incomplete message, if there is one. */
    void restartPartialMessageTimeout(long nowMicros) {
        if (hasPartialMessage()) {
            partialSinceMicros = nowMicros;
        }
    }

    /** Returns the change of the bytes of heap held by this queue since the last call of this method. */
    int heldBytesChange() {
        int change = framer.heldBytes() + commandBytes - accountedBytes;
        accountedBytes += change;
        return change;
    }

    /** Returns the heap that the queued commands need, in bytes. */
    int queuedBytes() {
        return commandBytes;
    }

    /** Discards all commands and the incomplete message. */
    void clear() {
        discardPartialMessage();
        commands.clear();
        commandBytes = 0;
    }

    /** Discards the incomplete message. */
    void discardPartialMessage() {
        framer.clear();
        partialSinceMicros = NEVER;
    }
}
