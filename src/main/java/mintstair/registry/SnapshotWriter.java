package mintstair.registry;

import java.io.IOException;
import java.util.function.Consumer;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.Snapshot;

/**
 * Writes a view to its snapshot file when the view has changed. An unchanged view is written again once its last
 * confirmation is at least one minute later than the one in the file, so that the file shows until when the view was
 * known to be current. Not thread-safe.
 */
final class SnapshotWriter {
    private static final long REWRITE_UNCHANGED_MICROS = 60_000_000;
    private static final long NOTHING_WRITTEN = -1;

    private final SnapshotFile file;
    private final Consumer<IOException> onFailure;
    private long writtenRevision = NOTHING_WRITTEN;
    private long writtenConfirmedAtMicros;
    private boolean lastWriteFailed;

    /** Creates a writer that calls {@code onFailure} for the first of consecutive failures to write. */
    SnapshotWriter(SnapshotFile file, Consumer<IOException> onFailure) {
        this.file = file;
        this.onFailure = onFailure;
    }

    /** Records that the file already contains this revision. */
    void setWrittenRevision(long revision) {
        writtenRevision = revision;
    }

    /** Writes the view if it has a snapshot and the file is out of date or the last attempt to write it failed. */
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
