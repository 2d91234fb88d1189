package mintstair.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Tests that a blocked target drops, counts and reports writes beyond the bound, and never blocks the writer. */
class NonBlockingOutputTest {
    private static final byte[] LINE =
            "a line of the log that is as long as most of them are, more or less\n".getBytes(StandardCharsets.UTF_8);

    /** Blocks each write until {@code open} is counted down. */
    private static final class BlockedStream extends OutputStream {
        final CountDownLatch open = new CountDownLatch(1);
        final ByteArrayOutputStream written = new ByteArrayOutputStream();

        @Override
        public void write(int oneByte) throws IOException {
            write(new byte[] {(byte) oneByte}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int from, int count) throws IOException {
            try {
                open.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            written.write(bytes, from, count);
        }
    }

    @Test
    void writerIsNotBlockedAndDropsAreReported() {
        BlockedStream blocked = new BlockedStream();
        NonBlockingOutput output = new NonBlockingOutput(blocked, "test");
        int lines = 20_000;
        for (int i = 0; i < lines; i++) {
            output.write(LINE, 0, LINE.length);
        }
        assertFalse(output.drain(10));
        long dropped = output.droppedWrites();
        assertTrue(dropped > 0 && dropped < lines, "dropped " + dropped);
        blocked.open.countDown();
        assertTrue(output.drain(20_000));
        String written = blocked.written.toString(StandardCharsets.UTF_8);
        assertEquals(lines - dropped + 1, written.lines().count());
        assertTrue(written.endsWith("log: " + dropped + " lines were dropped because the output was not read\n"));
    }

    @Test
    void failedTargetDoesNotBlockWriters() {
        NonBlockingOutput output = new NonBlockingOutput(
                new OutputStream() {
                    @Override
                    public void write(int oneByte) throws IOException {
                        throw new IOException("broken pipe");
                    }
                },
                "test");
        output.write(LINE, 0, LINE.length);
        assertTrue(output.drain(20_000));
        output.write(LINE, 0, LINE.length);
        assertTrue(output.drain(20_000));
    }
}
