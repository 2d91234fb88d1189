package mintstair.front;

import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The write side of a client connection: sends responses asynchronously and detects a client that does not read them.
 * Runs on the event loop; the completion of a write is received on the network thread and passed to the event loop.
 */
final class ResponseWriter {
    /** A client that reads nothing of its response for this long is disconnected. */
    private static final long WRITE_TIMEOUT_MICROS = 5_000_000;

    /** Is notified of each completed write, on the event loop. */
    interface Listener {
        void written(long nowMicros);
    }

    private final Connection<?> connection;
    private final MemoryManager<?> memoryManager;
    private final EventLoop loop;
    private final Listener listener;
    private int pendingWrites;
    private long progressAtMicros;
    private long lastCompletedAtMicros;

    ResponseWriter(Connection<?> connection, MemoryManager<?> memoryManager, EventLoop loop, Listener listener) {
        this.connection = connection;
        this.memoryManager = memoryManager;
        this.loop = loop;
        this.listener = listener;
    }

    /** Starts a write; {@code onWritten} runs on the event loop after the last byte was passed to the kernel. */
    @SuppressWarnings({"unchecked", "rawtypes"})
    void write(byte[] bytes, Runnable onWritten) {
        pendingWrites++;
        progressAtMicros = loop.now();
        ((Connection) connection).write(Buffers.wrap(memoryManager, bytes), new EmptyCompletionHandler<WriteResult>() {
            @Override
            public void completed(WriteResult result) {
                // The timeout of the next command starts here, even if the event loop is busy.
                long completedAtMicros = loop.now();
                loop.execute(() -> {
                    onWritten.run();
                    written(completedAtMicros);
                });
            }

            @Override
            public void failed(Throwable cause) {
                // The end of the connection is reported by its close listener.
                connection.terminateSilently();
            }
        });
    }

    private void written(long completedAtMicros) {
        pendingWrites--;
        progressAtMicros = loop.now();
        lastCompletedAtMicros = Math.max(lastCompletedAtMicros, completedAtMicros);
        listener.written(progressAtMicros);
    }

    /** Whether a write is pending. */
    boolean isWriting() {
        return pendingWrites > 0;
    }

    /** Whether a pending write has made no progress within the write timeout. */
    boolean isStalled(long nowMicros) {
        return isWriting() && nowMicros - progressAtMicros > WRITE_TIMEOUT_MICROS;
    }

    /** Returns when the network thread completed the last write; 0 before the first one. */
    long lastCompletedAtMicros() {
        return lastCompletedAtMicros;
    }
}
