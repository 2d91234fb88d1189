package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import mintstair.config.OperatorConfig;
import mintstair.pcap.PcapWriter;
import mintstair.proxy.EventLoop;
import mintstair.stats.MetricsSnapshot;
import mintstair.wire.Recorder;

/**
 * Records client traffic in one pcap file, on the event loop. A write error stops the recording, but not the service.
 */
final class PcapRecording implements TrafficRecording, Recorder {
    private static final long FLUSH_INTERVAL_MICROS = 1_000_000;

    private final EventLoop loop;
    private final PcapWriter file;
    private boolean hasFailed;

    private PcapRecording(EventLoop loop, OperatorConfig.RecordingConfig config) throws IOException {
        this.loop = loop;
        file = new PcapWriter(config.file(), config.maxBytes());
        loop.at(loop.now(), this::flushPeriodically);
    }

    /**
     * Starts a recording. The file of an earlier run is replaced; that of a predecessor, which still writes it, is kept
     * under another name.
     */
    static PcapRecording create(EventLoop loop, OperatorConfig.RecordingConfig config, boolean hasPredecessor)
            throws IOException {
        if (hasPredecessor && Files.exists(config.file())) {
            Path kept = unusedSibling(config.file());
            Files.move(config.file(), kept);
            System.out.println("recording: the predecessor's file is now " + kept);
        }
        return new PcapRecording(loop, config);
    }

    /** Returns the path with the first number behind it that no file has. */
    private static Path unusedSibling(Path file) {
        int number = 1;
        while (Files.exists(numbered(file, number))) {
            number++;
        }
        return numbered(file, number);
    }

    private static Path numbered(Path file, int number) {
        return file.resolveSibling(file.getFileName() + "." + number);
    }

    /** A write to the file. */
    private interface Write {
        void run(long nowMicros) throws IOException;
    }

    /** Does nothing once a write has failed, as records after a gap in the file could not be decoded. */
    private void write(Write write) {
        if (hasFailed) {
            return;
        }
        try {
            write.run(loop.now());
        } catch (IOException e) {
            hasFailed = true;
            System.err.println("the recording ends: " + e.getMessage());
        }
    }

    private void flushPeriodically() {
        write(now -> file.flush());
        loop.at(loop.now() + FLUSH_INTERVAL_MICROS, this::flushPeriodically);
    }

    @Override
    public Conversation begin(InetSocketAddress client, InetSocketAddress proxy) {
        PcapConversation conversation = new PcapConversation();
        write(now -> conversation.file = file.begin(now, client, proxy));
        return conversation.file == null ? Conversation.NONE : conversation;
    }

    /** One client connection in the file. */
    private final class PcapConversation implements Conversation {
        private PcapWriter.Conversation file;

        @Override
        public void record(boolean fromClient, byte[] bytes) {
            write(now -> file.sent(now, fromClient, bytes));
        }

        @Override
        public void ended() {
            write(now -> file.ended(now));
        }
    }

    @Override
    public Recorder postgresql() {
        return this;
    }

    @Override
    public Recorder mongodb() {
        return this;
    }

    @Override
    public boolean recordsHosts() {
        return false;
    }

    @Override
    public void addTo(MetricsSnapshot.Builder metrics) {
        // A single file has no metrics of its own.
    }

    /** Flushes the file, which is closed when the process exits. */
    @Override
    public void close() {
        flushPeriodically();
    }
}
