package mintstair.registry;

import java.io.IOException;
import java.util.function.Consumer;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Snapshot;

/**
 * Writes a view to its snapshot file when it has changed, and now and then when it has not, so that the file also shows
 * until when it was known to be current. Not thread-safe.
 */
final class SnapshotWriter {
    private static final long REWRITE_UNCHANGED_MICROS = 60_000_000;
    private static final long NOTHING_WRITTEN = -1;

    private final SnapshotFile file;
    private final Consumer<IOException> onFailure;
    private long writtenRevision = NOTHING_WRITTEN;
    private long writtenConfirmedAtMicros;
    private boolean lastWriteFailed;

    /** {@code onFailure} is called for the first of consecutive failures to write. */
    SnapshotWriter(SnapshotFile file, Consumer<IOException> onFailure) {
        this.file = file;
        this.onFailure = onFailure;
    }

    /** The file holds this revision. */
    void setWrittenRevision(long revision) {
        writtenRevision = revision;
    }

    void writeIfDue(RegistryView view) {
        Snapshot snapshot = view.snapshot();
        if (snapshot == null || !isDue(snapshot)) {
            return;
        }
        try {
            file.write(snapshot);
            writtenRevision = snapshot.revision();
            writtenConfirmedAtMicros = snapshot.confirmedAtMicros();
            lastWriteFailed = false;
        } catch (IOException e) {
            if (!lastWriteFailed) {
                onFailure.accept(e);
            }
            lastWriteFailed = true;
        }
    }

    private boolean isDue(Snapshot snapshot) {
        return lastWriteFailed
                || snapshot.revision() != writtenRevision
                || snapshot.confirmedAtMicros() >= writtenConfirmedAtMicros + REWRITE_UNCHANGED_MICROS;
    }
}
