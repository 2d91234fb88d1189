package mintstair.traffic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import mintstair.pcap.DropCounters;
import mintstair.wire.PgWriter;
import org.HdrHistogram.Histogram;

/**
 * Plays a schedule to a front: sends what is due, and hands the responses to the schedule. Uses the calling thread
 * alone, which waits for the network or the next due time, and spins for the last two milliseconds before it, as a
 * timer is not precise enough. Plays once.
 */
public final class Replayer implements AutoCloseable {
    private static final long SPIN_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
    private static final long MAX_SELECT_MILLIS = 100;
    private static final long DEFAULT_TIMEOUT_MILLIS = 5_000;
    /** A response that comes this long behind the client's timeout is still counted. */
    private static final long GRACE_MILLIS = 1_000;

    private static final long MAX_LATENESS_MICROS = TimeUnit.MINUTES.toMicros(1);
    private static final int LATENESS_DIGITS = 3;
    private static final int READ_BUFFER_BYTES = 256 * 1024;
    private static final int PG_PROTOCOL_VERSION_3 = 196_608;
    private static final byte[] PG_STARTUP = new PgWriter()
            .packet(PG_PROTOCOL_VERSION_3, "user", "web", "database", "orders", "")
            .bytes();

    /** One request as it was scheduled, and its exchange in the replay. */
    public record Played(ScheduledRequest scheduled, RecordedExchange replayed) {}

    /** A request that was sent and has no response yet. */
    private record OutstandingRequest(ScheduledRequest request, FrontConnection connection, long deadlineNanos) {}

    private final InetSocketAddress front;
    private final Recording.Protocol protocol;
    private final String idPrefix;
    private final ReplaySchedule schedule;
    private final ReplayClock clock;
    private final RequestRewriter rewriter;
    private final Selector selector;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BUFFER_BYTES);
    private final Map<ReplayConnection, FrontConnection> connections = new HashMap<>();
    private final Map<String, OutstandingRequest> outstandingById = new HashMap<>();
    /** Requests that have their response by now, too. */
    private final PriorityQueue<OutstandingRequest> byDeadline =
            new PriorityQueue<>(Comparator.comparingLong(OutstandingRequest::deadlineNanos));

    private final List<Played> played = new ArrayList<>();
    private final Histogram latenessMicros = new Histogram(MAX_LATENESS_MICROS, LATENESS_DIGITS);

    /**
     * Prepares a replay.
     *
     * @param recorded the exchanges, in any order
     * @param front the address that requests are sent to
     * @param idPrefix begins the id of each request, so that no id is used in two replays
     */
    public Replayer(
            List<RecordedExchange> recorded,
            ReplayOptions options,
            InetSocketAddress front,
            Recording.Protocol protocol,
            String idPrefix)
            throws IOException {
        this.front = front;
        this.protocol = protocol;
        this.idPrefix = idPrefix;
        schedule = new ReplaySchedule(recorded, options);
        rewriter = RequestRewriter.of(protocol);
        long firstRequestNanos = recorded.stream()
                .mapToLong(RecordedExchange::requestNanos)
                .min()
                .orElse(0);
        clock = new ReplayClock(options.beginNanos(firstRequestNanos));
        selector = Selector.open();
    }

    /** Plays to the end; returns each request that was sent with its exchange, in the order of the responses. */
    public List<Played> play() throws IOException {
        clock.start();
        while (!schedule.isFinished()) {
            for (ReplaySchedule.Dispatch dispatch : schedule.due(clock.nanos())) {
                send(dispatch);
            }
            if (schedule.isFinished()) {
                // The last of it was not to be sent: nothing is to come that could be waited for.
                return played;
            }
            awaitNetworkOrDueTime();
            handleReadyConnections();
            closeConnectionsBehindDeadline();
        }
        return played;
    }

    private void awaitNetworkOrDueTime() throws IOException {
        long nextDeadlineNanos = byDeadline.isEmpty() ? Long.MAX_VALUE : byDeadline.peek().deadlineNanos;
        long remainingNanos = Math.min(schedule.nextDueNanos(), nextDeadlineNanos) - clock.nanos();
        if (remainingNanos > SPIN_NANOS) {
            long sleepMillis = TimeUnit.NANOSECONDS.toMillis(remainingNanos - SPIN_NANOS) + 1;
            selector.select(Math.min(MAX_SELECT_MILLIS, sleepMillis));
        } else {
            selector.selectNow();
            Thread.onSpinWait();
        }
    }

    private void handleReadyConnections() {
        for (SelectionKey key : selector.selectedKeys()) {
            FrontConnection connection = (FrontConnection) key.attachment();
            try {
                connection.onReady(readBuffer);
            } catch (IOException e) {
                connection.close();
            }
        }
        selector.selectedKeys().clear();
    }

    private void send(ReplaySchedule.Dispatch dispatch) throws IOException {
        ScheduledRequest request = dispatch.request();
        FrontConnection connection = openConnection(dispatch.connection());
        long minimumPositionMillis = dispatch.token().toUnixMillis(request.recorded(), clock);
        String id = idPrefix + Integer.toHexString(request.number());
        OutstandingRequest outstanding = new OutstandingRequest(request, connection, deadlineNanos(request));
        outstandingById.put(id, outstanding);
        byDeadline.add(outstanding);
        connection.enqueue(rewriter.rewrite(request, id, minimumPositionMillis));
        try {
            connection.flush();
        } catch (IOException e) {
            connection.close();
        }
        if (request.precedingWrite() == null) {
            recordLateness(clock.nanos() - request.dueNanos());
        }
    }

    private FrontConnection openConnection(ReplayConnection scheduled) throws IOException {
        FrontConnection connection = connections.get(scheduled);
        if (connection == null || connection.isClosed()) {
            connection = connect(scheduled.number());
            connections.put(scheduled, connection);
        }
        return connection;
    }

    private FrontConnection connect(int number) throws IOException {
        ExchangeDecoder decoder = ExchangeDecoder.create(protocol, number, true, new DropCounters(), this::onExchange);
        FrontConnection connection = new FrontConnection(selector, clock, decoder);
        if (protocol == Recording.Protocol.POSTGRESQL) {
            connection.enqueue(PG_STARTUP);
        }
        connection.connect(front);
        return connection;
    }

    private static long deadlineNanos(ScheduledRequest request) {
        long recordedMillis = request.recorded().timeoutMillis();
        long timeoutMillis = recordedMillis > 0 ? recordedMillis : DEFAULT_TIMEOUT_MILLIS;
        return request.sentNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis + GRACE_MILLIS);
    }

    private void recordLateness(long latenessNanos) {
        long micros = TimeUnit.NANOSECONDS.toMicros(latenessNanos);
        latenessMicros.recordValue(Math.max(0, Math.min(MAX_LATENESS_MICROS, micros)));
    }

    /** The front's final response, or the end of its connection without one. */
    private void onExchange(RecordedExchange replayed) {
        OutstandingRequest outstanding = outstandingById.remove(replayed.id());
        if (outstanding == null) {
            return;
        }
        played.add(new Played(outstanding.request, replayed));
        schedule.answered(outstanding.request, clock.nanos(), replayed.result(), replayed.retryAfterMillis());
    }

    private void closeConnectionsBehindDeadline() {
        while (!byDeadline.isEmpty() && byDeadline.peek().deadlineNanos <= clock.nanos()) {
            OutstandingRequest expired = byDeadline.remove();
            if (expired.request.state() == ScheduledRequest.State.SENT) {
                expired.connection.close();
            }
        }
    }

    /**
     * How late requests were sent, in microseconds behind their due times; those that waited for a write are not
     * counted.
     */
    public Histogram lateness() {
        return latenessMicros;
    }

    /** What was played. */
    public ReplaySchedule schedule() {
        return schedule;
    }

    @Override
    public void close() throws IOException {
        connections.values().forEach(FrontConnection::close);
        selector.close();
    }
}
