package mintstair.serve;

import java.io.IOException;
import mintstair.config.OperatorConfig;
import mintstair.proxy.EventLoop;
import mintstair.stats.MetricsSnapshot;
import mintstair.wire.Recorder;

/** The recording of traffic that the operator set up: none, one pcap file, or a series of rotated files. */
interface TrafficRecording extends AutoCloseable {
    /** Records nothing. */
    TrafficRecording NONE = new TrafficRecording() {
        @Override
        public Recorder postgresql() {
            return null;
        }

        @Override
        public Recorder mongodb() {
            return null;
        }

        @Override
        public boolean recordsHosts() {
            return false;
        }

        @Override
        public void addTo(MetricsSnapshot.Builder metrics) {}

        @Override
        public void close() {}
    };

    /**
     * Opens the files of a recording; {@code config} is null where nothing is recorded.
     *
     * @param seed selects the connections that are sampled
     */
    static TrafficRecording open(EventLoop loop, OperatorConfig.RecordingConfig config, long seed) throws IOException {
        if (config == null) {
            return NONE;
        }
        return config.rotated() == null
                ? new PcapRecording(loop, config)
                : new RotatedRecording(loop, config.rotated(), seed);
    }

    /** Records PostgreSQL connections; null where no connection is recorded. */
    Recorder postgresql();

    /** Records MongoDB connections; null where no connection is recorded. */
    Recorder mongodb();

    /** Whether connections to database hosts are recorded as well as those of clients. */
    boolean recordsHosts();

    /** Adds what was written and lost. */
    void addTo(MetricsSnapshot.Builder metrics);

    /** Writes what is buffered. */
    @Override
    void close();
}
