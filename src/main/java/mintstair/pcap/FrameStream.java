package mintstair.pcap;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.LongUnaryOperator;
import java.util.function.Supplier;

/**
 * The frames of several files on repaired time lines: one file after the other, as rotated ones follow each other, or merged by
 * time, as files of several proxies lie beside each other. Holds one frame of each open file.
 */
final class FrameStream implements AutoCloseable {
    /** A file that is open, and its next frame. */
    private static final class Source {
        final Capture capture;
        final LongUnaryOperator clock;
        Capture.Frame next;

        Source(Capture capture, LongUnaryOperator clock) {
            this.capture = capture;
            this.clock = clock;
        }

        void advance(Losses losses) throws IOException {
            Capture.Frame frame = capture.next();
            next = frame == null
                    ? null
                    : new Capture.Frame(
                            clock.applyAsLong(frame.nanos()), frame.linkType(), frame.data(), frame.length());
            losses.add(Losses.Reason.FILE_DAMAGED, frame == null && capture.damage() != null ? 1 : 0);
        }
    }

    private final List<CaptureSource> waiting;
    private final List<Source> open = new ArrayList<>();
    private final LongUnaryOperator clock;
    private final Losses losses;

    /** {@code clocks} gives a time line of its own for each file that is merged, one for all that follow each other. */
    FrameStream(List<CaptureSource> files, boolean merge, Supplier<LongUnaryOperator> clocks, Losses losses)
            throws IOException {
        this.losses = losses;
        waiting = new ArrayList<>(merge ? List.of() : files);
        clock = merge ? null : clocks.get();
        try {
            for (CaptureSource file : merge ? files : List.<CaptureSource>of()) {
                add(file, clocks.get());
            }
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    private void add(CaptureSource file, LongUnaryOperator on) throws IOException {
        Source source = new Source(Capture.open(file.open()), on);
        open.add(source);
        source.advance(losses);
    }

    /** The next frame of all, or null at the end. */
    Capture.Frame next() throws IOException {
        while (true) {
            Source earliest = null;
            for (Source each : open) {
                earliest = each.next != null && (earliest == null || each.next.nanos() < earliest.next.nanos())
                        ? each
                        : earliest;
            }
            if (earliest != null) {
                Capture.Frame frame = earliest.next;
                earliest.advance(losses);
                return frame;
            }
            if (waiting.isEmpty()) {
                return null;
            }
            close();
            add(waiting.remove(0), clock);
        }
    }

    @Override
    public void close() throws IOException {
        for (Source each : open) {
            each.capture.close();
        }
        open.clear();
    }
}
