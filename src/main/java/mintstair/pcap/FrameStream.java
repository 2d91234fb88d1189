package mintstair.pcap;

import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

/**
 * The frames of several captures with repaired timestamps: one capture after the other, as rotated files follow
 * each other, or merged by time, as the files of several proxies do. Holds one frame of each open capture. Not safe
 * for use by several threads.
 */
final class FrameStream implements Closeable {
    private final Deque<CaptureSource> pending = new ArrayDeque<>();
    private final List<OpenCapture> open = new ArrayList<>();
    private final LongUnaryOperator sequentialClock;
    private final DropCounters drops;

    /** An open capture and its next frame, null at its end. */
    private static final class OpenCapture {
        final CaptureReader reader;
        final LongUnaryOperator clock;
        CapturedFrame next;

        OpenCapture(CaptureReader reader, LongUnaryOperator clock) {
            this.reader = reader;
            this.clock = clock;
        }

        void advance(DropCounters drops) throws IOException {
            try {
                CapturedFrame frame = reader.next();
                next = frame == null ? null : frame.withTimestamp(clock.applyAsLong(frame.timestampNanos()));
            } catch (MalformedCaptureException e) {
                // The frames before the damage are valid; the rest of this capture is given up, and the others go on.
                next = null;
                drops.count(DropCounters.Reason.FILE_DAMAGED);
            }
        }
    }

    /**
     * Opens the captures: all of them where they are merged, else the first with the first call of {@link #next}.
     *
     * @param clocks maps recorded timestamps: one for each capture that is merged, or one for all that follow each
     *     other
     */
    FrameStream(List<CaptureSource> captures, boolean merge, Supplier<LongUnaryOperator> clocks, DropCounters drops)
            throws IOException {
        this.drops = drops;
        if (!merge) {
            pending.addAll(captures);
            sequentialClock = clocks.get();
            return;
        }
        sequentialClock = null;
        try {
            for (CaptureSource capture : captures) {
                open(capture, clocks.get());
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void open(CaptureSource source, LongUnaryOperator clock) throws IOException {
        OpenCapture capture = new OpenCapture(CaptureReader.open(source), clock);
        open.add(capture);
        capture.advance(drops);
    }

    /**
     * Returns the next frame of all captures, or null at the end.
     *
     * @throws MalformedCaptureException where a further file is no capture at all
     */
    CapturedFrame next() throws IOException {
        while (true) {
            OpenCapture earliest = earliest();
            if (earliest != null) {
                CapturedFrame frame = earliest.next;
                earliest.advance(drops);
                return frame;
            }
            if (pending.isEmpty()) {
                return null;
            }
            close();
            open(pending.remove(), sequentialClock);
        }
    }

    /** The capture with the earliest frame, the first of them where several are equal; null where none has one. */
    private OpenCapture earliest() {
        OpenCapture earliest = null;
        for (OpenCapture capture : open) {
            if (capture.next != null && (earliest == null || isBefore(capture, earliest))) {
                earliest = capture;
            }
        }
        return earliest;
    }

    private static boolean isBefore(OpenCapture first, OpenCapture second) {
        return first.next.timestampNanos() < second.next.timestampNanos();
    }

    @Override
    public void close() throws IOException {
        for (OpenCapture capture : open) {
            capture.reader.close();
        }
        open.clear();
    }
}
