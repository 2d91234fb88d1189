package mintstair.front;

import mintstair.proxy.EventLoop;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.memory.MemoryManager;

/**
 * The write side of a client connection: sends responses asynchronously and knows whether the client reads them. Runs
 * on the event loop; the completion of a write arrives on the network thread and is passed on to the loop.
 */
final class ResponseWriter {
    /** A client that reads nothing of its response for so long is considered gone. */
    private static final long WRITE_TIMEOUT_MICROS = 5_000_000;

    /** Is notified, on the event loop, of each write that is complete. */
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

    /** Begins to write; {@code onWritten} runs on the event loop when the last byte was handed to the kernel. */
    @SuppressWarnings({"unchecked", "rawtypes"})
    void write(byte[] bytes, Runnable onWritten) {
        pendingWrites++;
        progressAtMicros = loop.now();
        ((Connection) connection).write(Buffers.wrap(memoryManager, bytes), new EmptyCompletionHandler<WriteResult>() {
            @Override
            public void completed(WriteResult result) {
                // The loop may be busy, and the timeout of the next command begins here.
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

    /** Whether some bytes are not written yet. */
    boolean isWriting() {
        return pendingWrites > 0;
    }

    /** Whether the client has read nothing for the write timeout although there is something to read. */
    boolean isStalled(long nowMicros) {
        return isWriting() && nowMicros - progressAtMicros > WRITE_TIMEOUT_MICROS;
    }

    /** When the network thread completed the last write, or 0 before the first. */
    long lastCompletedAtMicros() {
        return lastCompletedAtMicros;
    }
}
