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

/** Records a share of the connections, whole, into rotated files; the disk has a thread of its own, and the loop never waits for it. */
final class LogRecorder implements AutoCloseable {
    private final OperatorConfig.Rotated config;
    private final TrafficLog log;
    private final Sampler sampler;
    private final byte[] key = new byte[32];
    private long connections;

    LogRecorder(EventLoop loop, OperatorConfig.Rotated config, long seed) throws IOException {
        this.config = config;
        log = new TrafficLog(
                config.folder(),
                new Rotation(config.fileBytes(), config.fileMicros(), config.totalBytes()),
                config.queueBytes(),
                loop::now);
        sampler = new Sampler(config.share(), seed);
        new SecureRandom().nextBytes(key);
    }

    /** For one protocol's connections; with digests only PostgreSQL's are recorded, as only its values are known to be replaced. */
    Recorder of(boolean postgresql) {
        if (config.digests() && !postgresql) {
            return Recorder.NONE;
        }
        return this::begin;
    }

    private Recorder.Conversation begin(InetSocketAddress client, InetSocketAddress server) {
        if (!sampler.isSampled(connections++)) {
            return Recorder.Conversation.NONE;
        }
        TrafficLog.Conversation to = config.digests()
                ? log.begin(client, server, () -> Redactor.ofClient(key), () -> Redactor.ofServer(key), true)
                : log.begin(client, server, UnaryOperator::identity, UnaryOperator::identity, false);
        return new Recorder.Conversation() {
            @Override
            public void said(boolean byClient, byte[] bytes) {
                to.sent(byClient, bytes);
            }

            @Override
            public void ended() {
                to.ended();
            }
        };
    }

    /** Adds what was written and lost to the figures of the second address. */
    void addTo(MetricsSnapshot.Builder metrics) {
        metrics.add("record_written_bytes", log.writtenBytes())
                .add("record_lost", log.lostRecords())
                .add("record_lost_bytes", log.lostBytes());
    }

    @Override
    public void close() {
        log.close();
    }
}
