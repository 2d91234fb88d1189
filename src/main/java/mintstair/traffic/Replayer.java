package mintstair.traffic;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import mintstair.pcap.DropCounters;
import mintstair.time.WallClock;
import mintstair.wire.PgWriter;
import org.HdrHistogram.Histogram;

/**
 * Plays a schedule to a front: sends what is due, reads what comes, tells the schedule. One thread, which waits for the network or
 * for the next time, and for the last two milliseconds of it without sleeping.
 */
public final class Replayer implements AutoCloseable {
    private static final long MILLI = 1_000_000;
    private static final long SPIN = 2 * MILLI;
    /** Behind its deadline a request is given up after this. */
    private static final long PATIENCE = 1_000 * MILLI;

    private static final byte[] STARTUP = new PgWriter()
            .packet(196608, "user", "web", "database", "orders", "")
            .bytes();

    /** One request as it was recorded, and as it went in the replay. */
    public record Played(ReplaySchedule.Planned planned, RecordedExchange replayed) {}

    private final InetSocketAddress to;
    private final Recording.Protocol protocol;
    private final ReplaySchedule schedule;
    private final Rewriting rewriting;
    private final String run;
    private final Selector selector;
    private final Map<ReplaySchedule.Lane, Link> links = new HashMap<>();
    private final PriorityQueue<Sent> deadlines = new PriorityQueue<>((a, b) -> Long.compare(a.until, b.until));
    private final Map<String, Sent> open = new HashMap<>();
    private final List<Played> played = new ArrayList<>();
    private final Histogram lateness = new Histogram(60_000_000, 3);
    private final ByteBuffer in = ByteBuffer.allocate(256 * 1024);
    private final long firstAsked;
    private long begun;
    private long begunMillis;

    /** What is out. */
    private record Sent(ReplaySchedule.Planned planned, Link link, long until) {}

    /** One connection to the front. */
    private final class Link {
        final SocketChannel channel;
        final SelectionKey key;
        final ArrayDeque<ByteBuffer> out = new ArrayDeque<>();
        final ExchangeDecoder talk;
        boolean broken;
        boolean refused;

        Link(int number) throws IOException {
            channel = SocketChannel.open();
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
            talk = protocol == Recording.Protocol.MONGODB
                    ? new MongoExchangeDecoder(number, new DropCounters(), Replayer.this::answered)
                    : new PgExchangeDecoder(number, true, new DropCounters(), Replayer.this::answered);
            key = channel.register(selector, SelectionKey.OP_CONNECT, this);
            if (protocol == Recording.Protocol.POSTGRESQL) {
                say(STARTUP, now());
            }
            try {
                if (channel.connect(to)) {
                    key.interestOps(SelectionKey.OP_READ);
                }
            } catch (IOException e) {
                refused = true;
            }
        }

        void say(byte[] bytes, long now) {
            out.add(ByteBuffer.wrap(bytes));
            talk.said(now, true, bytes, 0, bytes.length);
        }

        void flush() throws IOException {
            while (channel.isConnected() && !out.isEmpty()) {
                channel.write(out.peek());
                if (out.peek().hasRemaining()) {
                    key.interestOps(SelectionKey.OP_READ | SelectionKey.OP_WRITE);
                    return;
                }
                out.poll();
            }
            if (channel.isConnected()) {
                key.interestOps(SelectionKey.OP_READ);
            }
        }

        void ready() throws IOException {
            if (key.isConnectable() && channel.finishConnect()) {
                key.interestOps(SelectionKey.OP_READ);
            }
            flush();
            if (key.isReadable()) {
                in.clear();
                int n = channel.read(in);
                if (n < 0) {
                    throw new IOException("closed by the front");
                }
                talk.said(now(), false, in.array(), 0, n);
            }
        }

        /** What is open on it has no answer. */
        void end() {
            if (!broken) {
                broken = true;
                key.cancel();
                try {
                    channel.close();
                } catch (IOException e) {
                    // It is closed all the same.
                }
                talk.end();
            }
        }
    }

    /** Plays these exchanges; {@code run} begins each id, so that none is used twice. */
    public Replayer(
            List<RecordedExchange> recorded,
            ReplayOptions options,
            InetSocketAddress to,
            Recording.Protocol protocol,
            String run)
            throws IOException {
        this.to = to;
        this.protocol = protocol;
        this.run = run;
        schedule = new ReplaySchedule(recorded, options);
        rewriting = protocol == Recording.Protocol.MONGODB ? new Rewriting.Mongo() : new Rewriting.Pg();
        firstAsked =
                recorded.stream().mapToLong(RecordedExchange::asked).min().orElse(0) + (long) (options.from() * 1e9);
        selector = Selector.open();
    }

    private long now() {
        return System.nanoTime() - begun;
    }

    /** Plays to the end; returns each request with what came of it, in the order of the answers. */
    public List<Played> play() throws IOException {
        begun = System.nanoTime();
        begunMillis = WallClock.millis();
        while (!schedule.isOver()) {
            for (ReplaySchedule.Send send : schedule.due(now())) {
                send(send);
            }
            long wake = Math.min(schedule.wakeAt(), deadlines.isEmpty() ? Long.MAX_VALUE : deadlines.peek().until);
            long left = wake - now();
            if (left > SPIN) {
                selector.select(Math.min(100, (left - SPIN) / MILLI + 1));
            } else {
                selector.selectNow();
                Thread.onSpinWait();
            }
            for (SelectionKey key : selector.selectedKeys()) {
                Link link = (Link) key.attachment();
                try {
                    link.ready();
                } catch (IOException e) {
                    link.end();
                }
            }
            selector.selectedKeys().clear();
            giveUp();
        }
        return played;
    }

    private void send(ReplaySchedule.Send send) throws IOException {
        ReplaySchedule.Planned p = send.request();
        Link link = links.get(send.lane());
        if (link == null || link.broken) {
            link = new Link(send.lane().number);
            links.put(send.lane(), link);
        }
        long after = send.afterNanos() == ReplaySchedule.Send.NO_TOKEN
                ? -1
                : send.afterNanos() == ReplaySchedule.Send.MOVED_ON
                        ? Math.min(
                                begunMillis + now() / MILLI,
                                p.recorded.afterMillis() + begunMillis - firstAsked / MILLI)
                        : begunMillis + send.afterNanos() / MILLI + 1;
        String id = run + Integer.toHexString(p.number);
        Sent sent = new Sent(
                p,
                link,
                p.sent
                        + (p.recorded.deadlineMillis() > 0 ? p.recorded.deadlineMillis() * MILLI : PATIENCE * 5)
                        + PATIENCE);
        open.put(id, sent);
        deadlines.add(sent);
        link.say(rewriting.rewrite(p.recorded, id, p.copy, p.retry, after), now());
        try {
            if (link.refused) {
                throw new IOException("refused");
            }
            link.flush();
        } catch (IOException e) {
            link.end();
        }
        if (p.follows == null) {
            lateness.recordValue(Math.max(0, Math.min(60_000_000, (now() - p.due) / 1000)));
        }
    }

    /** The front's final answer, or the end of its connection without one. */
    private void answered(RecordedExchange e) {
        Sent sent = open.remove(e.id());
        if (sent != null) {
            played.add(new Played(sent.planned, e));
            schedule.answered(sent.planned, now(), e.result(), e.retryAfterMillis());
        }
    }

    private void giveUp() {
        for (Sent next = deadlines.peek(); next != null && next.until <= now(); next = deadlines.peek()) {
            deadlines.poll();
            if (next.planned.fate == ReplaySchedule.Fate.SENT) {
                next.link.end();
            }
        }
    }

    /** How late requests left behind the schedule, in microseconds; those that wait for an answer are not counted. */
    public Histogram lateness() {
        return lateness;
    }

    public ReplaySchedule schedule() {
        return schedule;
    }

    @Override
    public void close() throws IOException {
        links.values().forEach(Link::end);
        selector.close();
    }
}
