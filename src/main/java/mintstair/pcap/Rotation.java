package mintstair.pcap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Decides when a recording goes on in a new file, and which old files are deleted. Without I/O; files of earlier
 * runs count, too. Times are microseconds of any clock. Not safe for use by several threads.
 */
public final class Rotation {
    private record ClosedFile(String name, long bytes) {}

    private final long maxFileBytes;
    private final long maxFileAgeMicros;
    private final long maxTotalBytes;
    private final Deque<ClosedFile> closedFiles = new ArrayDeque<>();
    private long closedBytes;
    private String currentName;
    private long currentBytes;
    private long currentSinceMicros;

    /**
     * Creates a policy.
     *
     * @param maxFileBytes a file is closed before it is larger
     * @param maxFileAgeMicros a file is closed at this age
     * @param maxTotalBytes of all files together; room for one whole file at least
     * @throws IllegalArgumentException where a limit is out of range
     */
    public Rotation(long maxFileBytes, long maxFileAgeMicros, long maxTotalBytes) {
        if (maxFileBytes < 1 || maxFileAgeMicros < 1 || maxTotalBytes < maxFileBytes) {
            throw new IllegalArgumentException(
                    "a file's bytes and age must be above 0, and all may hold one file at least");
        }
        this.maxFileBytes = maxFileBytes;
        this.maxFileAgeMicros = maxFileAgeMicros;
        this.maxTotalBytes = maxTotalBytes;
    }

    /** Adds a file that is not written any more, such as one of an earlier run; from the oldest on. */
    public void addClosedFile(String name, long bytes) {
        closedFiles.add(new ClosedFile(name, bytes));
        closedBytes += bytes;
    }

    /** Whether a record of {@code recordBytes} goes to a new file. One larger than a file has a file of its own. */
    public boolean isDue(long nowMicros, int recordBytes) {
        if (currentName == null) {
            return true;
        }
        boolean tooOld = nowMicros - currentSinceMicros >= maxFileAgeMicros;
        boolean tooLarge = currentBytes + recordBytes > maxFileBytes && currentBytes > 0;
        return tooOld || tooLarge;
    }

    /** A new file was begun; the one before it is closed. */
    public void fileStarted(String name, long nowMicros) {
        closeCurrentFile();
        currentName = name;
        currentBytes = 0;
        currentSinceMicros = nowMicros;
    }

    /** The current file, if there is one, is not written any more: the next record is due for a new one. */
    public void closeCurrentFile() {
        if (currentName != null) {
            addClosedFile(currentName, currentBytes);
            currentName = null;
        }
    }

    /** Bytes were written to the current file. */
    public void bytesWritten(int bytes) {
        currentBytes += bytes;
    }

    /** Removes and returns the files to be deleted for the current one to have its room, from the oldest on. */
    public List<String> removeExcessFiles() {
        List<String> names = new ArrayList<>();
        while (!closedFiles.isEmpty() && closedBytes + maxFileBytes > maxTotalBytes) {
            ClosedFile oldest = closedFiles.remove();
            closedBytes -= oldest.bytes;
            names.add(oldest.name);
        }
        return names;
    }
}
