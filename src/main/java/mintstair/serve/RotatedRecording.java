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
 * Records a sample of the connections in rotated files; a sampled connection is recorded completely. {@link TrafficLog}
 * writes the files on its own thread, for which the event loop never waits. Connections begin on the event loop.
 */
final class RotatedRecording implements TrafficRecording {
    private static final int DIGEST_KEY_BYTES = 32;

    private final OperatorConfig.RotatedFiles config;
    private final TrafficLog log;
    private final Sampler sampler;
    private final byte[] digestKey = new byte[DIGEST_KEY_BYTES];
    private long connectionCount;

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

    /** Records nothing if values are to be replaced by digests, which is supported for PostgreSQL only. */
    @Override
    public Recorder mongodb() {
        return config.digests() ? Recorder.NONE : this::begin;
    }

    @Override
    public boolean recordsHosts() {
        return config.hosts();
    }

    private Recorder.Conversation begin(InetSocketAddress client, InetSocketAddress server) {
        if (!sampler.isSampled(connectionCount++)) {
            return Recorder.Conversation.NONE;
        }
        return new LoggedConversation(config.digests() ? beginRedacted(client, server) : beginPlain(client, server));
    }

    private TrafficLog.Conversation beginRedacted(InetSocketAddress client, InetSocketAddress server) {
        return log.begin(client, server, () -> Redactor.ofClient(digestKey), () -> Redactor.ofServer(digestKey), true);
    }

    private TrafficLog.Conversation beginPlain(InetSocketAddress client, InetSocketAddress server) {
        return log.begin(client, server, UnaryOperator::identity, UnaryOperator::identity, false);
    }

    /** A recorded connection. */
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
