package mintstair.standin;

import java.io.IOException;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Shifts the wall clock of one process and makes its system calls fail. The process preloads the library of
 * src/test/c/fault_shim.c, which reads its instructions from a file that both map, so changes take effect at once. Safe
 * for use by several threads.
 */
public final class FaultShim {
    /** A system call that can fail, in the order of the library. */
    public enum Call {
        ACCEPT,
        SOCKET,
        CONNECT,
        EPOLL_WAIT,
        READ,
        WRITE,
        FILE_WRITE,
        SYNC
    }

    /** An error with its Linux number; ONE_BYTE shortens a read or write to one byte instead. */
    public enum Fault {
        EINTR(4),
        EIO(5),
        ENFILE(23),
        EMFILE(24),
        ENOSPC(28),
        EADDRNOTAVAIL(99),
        ENETUNREACH(101),
        ECONNABORTED(103),
        ENOBUFS(105),
        ETIMEDOUT(110),
        EHOSTUNREACH(113),
        ONE_BYTE(1000);

        final long number;

        Fault(long number) {
            this.number = number;
        }
    }

    private static final Path SOURCE = Path.of("src", "test", "c", "fault_shim.c");
    private static final long COMPILE_SECONDS = 60;
    private static final int CLOCK_OFFSET_FIELD = 0;
    private static final int FIRST_CALL_FIELD = 1;
    private static final int FIELDS_PER_CALL = 4;
    private static final int ERROR = 0;
    private static final int PER_THOUSAND = 1;
    private static final int MADE = 2;
    private static final int FAILED = 3;
    private static final int FIELDS = FIRST_CALL_FIELD + FIELDS_PER_CALL * Call.values().length;
    private static Path library;

    private final Path controlFile;
    private final MappedByteBuffer control;

    /**
     * Compiles the library at the first use in this process; throws if there is no compiler, so that no test passes
     * without it.
     */
    public FaultShim() throws IOException {
        compile();
        controlFile = Files.createTempFile("fault-shim", ".control");
        controlFile.toFile().deleteOnExit();
        try (FileChannel file = FileChannel.open(controlFile, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            control = file.map(FileChannel.MapMode.READ_WRITE, 0, (long) FIELDS * Long.BYTES);
        }
        control.order(ByteOrder.nativeOrder());
    }

    private static synchronized void compile() throws IOException {
        if (library != null) {
            return;
        }
        Path made = Files.createTempDirectory("fault-shim").resolve("fault_shim.so");
        Process compiler;
        try {
            compiler = new ProcessBuilder(
                            "cc", "-O1", "-shared", "-fPIC", "-o", made.toString(), SOURCE.toString(), "-ldl")
                    .inheritIO()
                    .start();
        } catch (IOException e) {
            throw new IOException("a C compiler named cc is needed, see README.md: " + e.getMessage(), e);
        }
        try {
            if (!compiler.waitFor(COMPILE_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
                throw new IOException("cc did not compile " + SOURCE);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
        library = made;
    }

    /** Returns the environment variables with which the process must be started. */
    public Map<String, String> environment() {
        return Map.of("LD_PRELOAD", library.toString(), "FAULT_SHIM_CONTROL", controlFile.toString());
    }

    /** Sets the difference of the wall clock of the process to that of the system; positive if it is ahead. */
    public void shiftWallClock(Duration by) {
        put(CLOCK_OFFSET_FIELD, by.toNanos());
    }

    /** Makes this number of a thousand calls fail with this error from now on. */
    public void fail(Call call, Fault fault, int perThousand) {
        put(field(call, PER_THOUSAND), perThousand);
        put(field(call, ERROR), fault.number);
    }

    /** Makes no call fail from now on. */
    public void stopFailures() {
        List.of(Call.values()).forEach(call -> put(field(call, ERROR), 0));
    }

    /** Returns how often the process has made this call. */
    public long callCount(Call call) {
        return get(field(call, MADE));
    }

    /** Returns how many of these calls failed. */
    public long failureCount(Call call) {
        return get(field(call, FAILED));
    }

    private static int field(Call call, int which) {
        return FIRST_CALL_FIELD + call.ordinal() * FIELDS_PER_CALL + which;
    }

    private synchronized void put(int field, long value) {
        control.putLong(field * Long.BYTES, value);
    }

    private synchronized long get(int field) {
        return control.getLong(field * Long.BYTES);
    }
}
