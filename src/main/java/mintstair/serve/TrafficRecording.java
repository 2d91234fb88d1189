package mintstair.serve;

import java.io.IOException;
import mintstair.config.OperatorConfig;
import mintstair.proxy.EventLoop;
import mintstair.stats.MetricsSnapshot;
import mintstair.wire.Recorder;

/** Records traffic as configured by the operator: not at all, in one pcap file, or in a series of rotated files. */
interface TrafficRecording extends AutoCloseable {
    /** A recording that records nothing. */
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
     * Opens the files of a recording.
     *
     * @param config null if nothing is recorded
     * @param seed the seed of the random sample of connections
     * @param hasPredecessor whether another process with the same configuration may still write its files
     */
    static TrafficRecording open(
            EventLoop loop, OperatorConfig.RecordingConfig config, long seed, boolean hasPredecessor)
            throws IOException {
        if (config == null) {
            return NONE;
        }
        return config.rotated() == null
                ? PcapRecording.create(loop, config, hasPredecessor)
                : new RotatedRecording(loop, config.rotated(), seed);
    }

    /** Returns the recorder of PostgreSQL connections; null if none are recorded. */
    Recorder postgresql();

    /** Returns the recorder of MongoDB connections; null if none are recorded. */
    Recorder mongodb();

    /** Returns whether connections to database hosts are recorded in addition to client connections. */
    boolean recordsHosts();

    /** Adds the amounts of recorded and lost traffic. */
    void addTo(MetricsSnapshot.Builder metrics);

    /** Writes buffered records and stops recording. */
    @Override
    void close();
}
