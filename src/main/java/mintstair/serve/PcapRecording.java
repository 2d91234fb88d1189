package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
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

    PcapRecording(EventLoop loop, OperatorConfig.RecordingConfig config) throws IOException {
        this.loop = loop;
        file = new PcapWriter(config.file(), config.maxBytes());
        loop.at(loop.now(), this::flushPeriodically);
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
