package mintstair.traffic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicLong;
import mintstair.pcap.PcapWriter;
import mintstair.standin.Client;

/** Writes a connection to a capture, a millisecond between messages. */
final class RecordedConversation {
    static final InetSocketAddress PG_FRONT = new InetSocketAddress("127.0.0.1", 5433);
    static final InetSocketAddress MONGO_FRONT = new InetSocketAddress("127.0.0.1", 27017);

    private static final long MESSAGE_INTERVAL_MICROS = 1_000;

    private final AtomicLong clockMicros;
    private final PcapWriter.Conversation conversation;

    RecordedConversation(PcapWriter file, AtomicLong clockMicros, int clientPort, InetSocketAddress front)
            throws IOException {
        this.clockMicros = clockMicros;
        InetSocketAddress client = new InetSocketAddress("127.0.0.1", clientPort);
        conversation = file.begin(clockMicros.get(), client, front);
    }

    /** A connection to PostgreSQL's front behind its start-up. */
    static RecordedConversation startedPg(PcapWriter file, AtomicLong clockMicros, int clientPort) throws IOException {
        return new RecordedConversation(file, clockMicros, clientPort, PG_FRONT)
                .request(Client.Pg.startup())
                .response(PgMessages.authenticated());
    }

    RecordedConversation request(byte[] bytes) throws IOException {
        conversation.sent(nextMicros(), true, bytes);
        return this;
    }

    RecordedConversation response(byte[] bytes) throws IOException {
        conversation.sent(nextMicros(), false, bytes);
        return this;
    }

    void end() throws IOException {
        conversation.ended(nextMicros());
    }

    private long nextMicros() {
        return clockMicros.addAndGet(MESSAGE_INTERVAL_MICROS);
    }
}
