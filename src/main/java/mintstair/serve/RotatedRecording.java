package mintstair.serve;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.util.function.UnaryOperator;
import mintstair.config.OperatorConfig;
import mintstair.pcap.Rotation;
import mintstair.pcap.Sampler;
import mintstair.pcap.TrafficLog;
import mintstair.proxy.EventLoop;
import mintstair.stats.MetricsSnapshot;
import mintstair.traffic.Redactor;
import mintstair.wire.Recorder;

/**
 * Records a sample of the connections, each whole, into rotated files. A thread of {@link TrafficLog} writes to the
 * disk, and the event loop never waits for it. Connections begin on the event loop.
 */
final class RotatedRecording implements TrafficRecording {
    private static final int DIGEST_KEY_BYTES = 32;

    private final OperatorConfig.RotatedFiles config;
    private final TrafficLog log;
    private final Sampler sampler;
    private final byte[] digestKey = new byte[DIGEST_KEY_BYTES];
    private long connections;

    RotatedRecording(EventLoop loop, OperatorConfig.RotatedFiles config, long seed) throws IOException {
        this.config = config;
        Rotation rotation = new Rotation(config.fileBytes(), config.fileMicros(), config.totalBytes());
        log = new TrafficLog(config.folder(), rotation, config.queueBytes(), loop::now);
        sampler = new Sampler(config.share(), seed);
        new SecureRandom().nextBytes(digestKey);
    }

    @Override
    public Recorder postgresql() {
        return this::begin;
    }

    /** With digests nothing is recorded: only PostgreSQL's values are known to be replaced. */
    @Override
    public Recorder mongodb() {
        return config.digests() ? Recorder.NONE : this::begin;
    }

    @Override
    public boolean recordsHosts() {
        return config.hosts();
    }

    private Recorder.Conversation begin(InetSocketAddress client, InetSocketAddress server) {
        if (!sampler.isSampled(connections++)) {
            return Recorder.Conversation.NONE;
        }
        return new LoggedConversation(config.digests() ? redacted(client, server) : plain(client, server));
    }

    private TrafficLog.Conversation redacted(InetSocketAddress client, InetSocketAddress server) {
        return log.begin(client, server, () -> Redactor.ofClient(digestKey), () -> Redactor.ofServer(digestKey), true);
    }

    private TrafficLog.Conversation plain(InetSocketAddress client, InetSocketAddress server) {
        return log.begin(client, server, UnaryOperator::identity, UnaryOperator::identity, false);
    }

    /** One connection in the log. */
    private record LoggedConversation(TrafficLog.Conversation log) implements Recorder.Conversation {
        @Override
        public void record(boolean fromClient, byte[] bytes) {
            log.sent(fromClient, bytes);
        }

        @Override
        public void ended() {
            log.ended();
        }
    }

    @Override
    public void addTo(MetricsSnapshot.Builder metrics) {
        metrics.add("record_written_bytes", log.writtenBytes())
                .add("record_lost", log.lostRecords())
                .add("record_lost_bytes", log.lostBytes());
    }

    @Override
    public void close() {
        log.close();
    }
}
