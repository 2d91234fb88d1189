package mintstair.pcap;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * When a recording goes on in a new file, and which old ones give way, without I/O. Files of earlier runs count, too. Sizes in bytes,
 * times in microseconds. Not safe for use by several threads.
 */
public final class Rotation {
    private record Old(String name, long bytes) {}

    private final long fileBytes;
    private final long fileMicros;
    private final long totalBytes;
    private final Deque<Old> old = new ArrayDeque<>();
    private long oldBytes;
    private String current;
    private long bytes;
    private long since;

    /** A file is closed before it is larger or older than this; all together stay within {@code totalBytes}. */
    public Rotation(long fileBytes, long fileMicros, long totalBytes) {
        if (fileBytes < 1 || fileMicros < 1 || totalBytes < fileBytes) {
            throw new IllegalArgumentException(
                    "a file's bytes and age must be above 0, and all may hold one file at least");
        }
        this.fileBytes = fileBytes;
        this.fileMicros = fileMicros;
        this.totalBytes = totalBytes;
    }

    /** A file of an earlier run; to be told of from the oldest on. */
    public void found(String name, long size) {
        old.add(new Old(name, size));
        oldBytes += size;
    }

    /** Whether a record of so many bytes goes to a new file. One that is larger than a file may be has a file of its own. */
    public boolean isDue(long now, int next) {
        return current == null || now - since >= fileMicros || (bytes + next > fileBytes && bytes > 0);
    }

    /** A new file was begun. */
    public void begun(String name, long now) {
        if (current != null) {
            found(current, bytes);
        }
        current = name;
        bytes = 0;
        since = now;
    }

    /** The newest file can't be written any further: whatever comes next goes to a new one. */
    public void abandon() {
        if (current != null) {
            found(current, bytes);
            current = null;
        }
    }

    /** So many bytes were written to the newest file. */
    public void wrote(int n) {
        bytes += n;
    }

    /** The files that are to be deleted for the newest to have its room, from the oldest on; they are forgotten. */
    public List<String> toDelete() {
        List<String> names = new ArrayList<>();
        while (!old.isEmpty() && oldBytes + fileBytes > totalBytes) {
            Old oldest = old.poll();
            oldBytes -= oldest.bytes;
            names.add(oldest.name);
        }
        return names;
    }
}
