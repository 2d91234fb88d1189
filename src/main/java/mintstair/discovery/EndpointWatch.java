package mintstair.discovery;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.function.Consumer;
import mintstair.config.Json;
import mintstair.config.ListReader;
import mintstair.discovery.pace.WatchPacing;
import mintstair.discovery.pace.WatchPacing.Failure;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.stats.Counters;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.Grizzly;
import org.glassfish.grizzly.GrizzlyFuture;
import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainBuilder;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;
import org.glassfish.grizzly.filterchain.TransportFilter;
import org.glassfish.grizzly.http.HttpClientFilter;
import org.glassfish.grizzly.http.HttpContent;
import org.glassfish.grizzly.http.HttpRequestPacket;
import org.glassfish.grizzly.http.HttpResponsePacket;
import org.glassfish.grizzly.http.Method;
import org.glassfish.grizzly.http.Protocol;
import org.glassfish.grizzly.nio.transport.TCPNIOConnectorHandler;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Keeps a watch on discovery: the whole list first, then one call for changes after the other. The next call
 * must follow within 200 ms of an answer, or changes in between are lost; it follows at once. A line that says nothing for
 * longer than {@link WatchPacing} allows, breaks or says what cannot be read is given up for a next one; where the pace allows for it
 * the next one is tried beside it, and whichever is heard first stays.
 */
public final class EndpointWatch {
    private static final int OK = 200;
    private static final int MOST_NAMED = 8;
    /**
     * A list of 1,024 hosts, indented, is a tenth of this; an answer without end must not fill the heap until it is given up, and the
     * buffer that holds it is copied as it grows.
     */
    private static final int MOST_BYTES = 4 * 1024 * 1024;

    private final EventLoop loop;
    private final InetSocketAddress address;
    private final Consumer<EndpointList> told;
    private final Counters counters;
    private final TCPNIOConnectorHandler connector;
    /** Those that may still be heard, oldest first. */
    private final ArrayDeque<Line> lines = new ArrayDeque<>();

    private WatchPacing pace;
    private long revision;
    /** Whether the last call was answered with what could be used. */
    private boolean sure;

    private Future<?> next;
    /** Since when nothing that could be used was heard, and what was logged of that; 0 and nothing while all is well. */
    private long troubledSince;

    private final Set<String> named = new HashSet<>();
    private boolean ended;

    /** Changes are asked for from {@code revision} on, or the whole list where that is below 0. */
    public EndpointWatch(
            EventLoop loop,
            TCPNIOTransport transport,
            InetSocketAddress address,
            long revision,
            WatchPacing pace,
            Counters counters,
            Consumer<EndpointList> told) {
        this.loop = loop;
        this.address = address;
        this.told = told;
        this.counters = counters;
        this.revision = revision;
        this.pace = pace;
        connector = TCPNIOConnectorHandler.builder(transport)
                .processor(FilterChainBuilder.stateless()
                        .add(new TransportFilter())
                        .add(new HttpClientFilter())
                        .add(new Answers())
                        .build())
                .build();
    }

    /** Asks at this pace from now on; what is out is missing no later than by this pace; on the loop. */
    public void pace(WatchPacing changed) {
        pace = changed;
        if (!lines.isEmpty()) {
            lines.peekLast().hurry();
        }
    }

    /** Ends the watch: nothing more is told, and its connections are closed; on the loop. */
    public void end() {
        ended = true;
        drop(null);
    }

    /** Begins to watch; on the loop. */
    public void start() {
        if (ended) {
            return;
        }
        if (lines.size() >= pace.mostOut()) {
            lines.pollFirst().close();
        }
        Line line = new Line();
        lines.add(line);
        line.open();
    }

    private void startLater(Failure why) {
        cancel(next);
        next = loop.at(loop.now() + pace.retry(why), this::start);
    }

    /** Closes all but this one. */
    private void drop(Line kept) {
        cancel(next);
        next = null;
        lines.removeIf(line -> {
            if (line != kept) {
                line.close();
            }
            return line != kept;
        });
    }

    private static void cancel(Future<?> task) {
        if (task != null) {
            task.cancel(false);
        }
    }

    /** Of a row of troubles each kind is logged once, and the end; a row of ever new kinds must not fill the log. */
    private void troubled(String why) {
        counters.listCallsFailed++;
        sure = false;
        troubledSince = troubledSince == 0 ? loop.now() : troubledSince;
        if (named.size() < MOST_NAMED && named.add(why)) {
            System.err.println("discovery: " + why);
        }
    }

    private void heard() {
        if (troubledSince > 0) {
            System.err.println("discovery: heard again after " + (loop.now() - troubledSince) / 1000 + " ms");
        }
        troubledSince = 0;
        named.clear();
        sure = true;
        pace.answered();
    }

    /** Takes one answer in and asks on; {@code line} is the only one from here on. */
    private void answered(Line line, int status, byte[] body) {
        if (!lines.contains(line)) {
            return;
        }
        drop(line);
        if (status != OK) {
            // Turned away: the list and the connection are as good as before, but not asked for at once.
            troubled("status " + status);
            line.askLater(Failure.TURNED_AWAY);
            return;
        }
        EndpointList list;
        try {
            list = ListReader.read(Json.read(body));
        } catch (IOException | IllegalArgumentException e) {
            // A list that cannot be read changes nothing: the last one stands, and the whole is asked for.
            troubled(String.valueOf(e.getMessage()).split("\n")[0]);
            revision = -1;
            line.askLater(Failure.BROKEN);
            return;
        }
        heard();
        if (!list.whole() && list.revision() < revision) {
            // Another service, or one begun anew: what it calls changes is none to this list.
            revision = -1;
            line.ask();
            return;
        }
        try {
            told.accept(list);
        } catch (RuntimeException e) {
            // What it told may not have been taken in: no revision may be known that stands for it.
            revision = -1;
            troubled(String.valueOf(e));
            line.askLater(Failure.BROKEN);
            return;
        }
        revision = list.revision();
        line.ask();
    }

    /** One connection to discovery and the call that is out on it. */
    private final class Line {
        private GrizzlyFuture<Connection> making;
        private Connection<?> connection;
        private Future<?> due;
        /** Whether its answer was the last thing on it: the next call needs another connection. */
        private boolean over;
        /** When the call that is out is missing; {@link Long#MAX_VALUE} while none is out. */
        private long missingAt = Long.MAX_VALUE;

        void open() {
            making = connector.connect(address);
            making.addCompletionHandler(new EmptyCompletionHandler<Connection>() {
                @Override
                public void completed(Connection made) {
                    loop.execute(() -> {
                        if (lines.contains(Line.this)) {
                            connection = made;
                            ask();
                        } else {
                            made.closeSilently();
                        }
                    });
                }

                @Override
                public void failed(Throwable why) {
                    loop.execute(() -> lost("cannot connect to " + address, Failure.BROKEN));
                }
            });
            missingAfter(0);
        }

        void ask() {
            if (over) {
                lines.remove(this);
                close();
                start();
                return;
            }
            HttpRequestPacket.Builder request = HttpRequestPacket.builder()
                    .method(Method.GET)
                    .uri("/registry/instances")
                    .protocol(Protocol.HTTP_1_1)
                    .header("Host", address.getHostString() + ":" + address.getPort());
            long held = revision < 0 ? 0 : pace.held(sure);
            if (revision >= 0) {
                request.query("index=" + revision + "&wait=" + held / 1000);
            }
            connection.write(request.build());
            counters.listCalls++;
            missingAfter(held);
        }

        void askLater(Failure why) {
            cancel(due);
            missingAt = Long.MAX_VALUE;
            due = loop.at(loop.now() + pace.retry(why), this::ask);
        }

        /** An agent that was cut off stays silent on a connection that stays open, or in the middle of an answer. */
        private void missingAfter(long held) {
            cancel(due);
            missingAt = loop.now() + pace.missingAfter(held);
            due = loop.at(missingAt, () -> missing(held));
        }

        /** A call that is out was made at a pace that may allow for a longer silence than the one that counts now. */
        void hurry() {
            long held = pace.held(sure);
            if (missingAt < Long.MAX_VALUE && missingAt > loop.now() + pace.missingAfter(held)) {
                missingAfter(held);
            }
        }

        private void missing(long held) {
            if (!pace.asksBeside()) {
                lost("no answer in time", pace.missing(held));
            } else if (lines.peekLast() == this) {
                troubled("no answer in time");
                start();
            }
        }

        /** The newest is followed by a next one; of older ones no more was hoped for. */
        private void lost(String why, Failure failure) {
            boolean newest = lines.peekLast() == this;
            if (lines.remove(this)) {
                close();
                if (newest) {
                    troubled(why);
                    startLater(failure);
                }
            }
        }

        void close() {
            cancel(due);
            if (connection != null) {
                connection.closeSilently();
            } else {
                // One that has not come up must not be left to the system, which tries for minutes.
                making.cancel(true);
            }
        }
    }

    private Line lineOf(Connection<?> connection) {
        for (Line line : lines) {
            if (line.connection == connection) {
                return line;
            }
        }
        return null;
    }

    /** Hands whole answers and ends of connections to the loop; on the network thread. */
    private final class Answers extends BaseFilter {
        /** What has come of an answer, and whether only the end of the connection tells that it is whole. */
        private record Part(ByteArrayOutputStream body, int status, boolean untilEnd) {}

        private final Attribute<Part> parts =
                Grizzly.DEFAULT_ATTRIBUTE_BUILDER.createAttribute("answer." + System.identityHashCode(this));

        @Override
        public NextAction handleRead(FilterChainContext ctx) {
            HttpContent content = ctx.getMessage();
            Connection<?> by = ctx.getConnection();
            Part part = parts.get(by);
            if (part == null) {
                HttpResponsePacket head = (HttpResponsePacket) content.getHttpHeader();
                part = new Part(
                        new ByteArrayOutputStream(),
                        head.getStatus(),
                        !head.isChunked() && head.getContentLength() < 0);
                parts.set(by, part);
            }
            byte[] bytes = new byte[content.getContent().remaining()];
            content.getContent().get(bytes);
            part.body.writeBytes(bytes);
            boolean last = content.isLast();
            content.recycle();
            if (last) {
                parts.remove(by);
                hand(by, part, false);
            } else if (part.body.size() > MOST_BYTES) {
                parts.remove(by);
                by.closeSilently();
            }
            return ctx.getStopAction();
        }

        private void hand(Connection<?> by, Part whole, boolean over) {
            byte[] body = whole.body.toByteArray();
            loop.execute(() -> {
                Line line = lineOf(by);
                if (line != null) {
                    line.over = over;
                    answered(line, whole.status, body);
                }
            });
        }

        private static boolean isWhole(byte[] body) {
            try {
                Json.read(body);
                return true;
            } catch (IOException | IllegalArgumentException e) {
                return false;
            }
        }

        @Override
        public NextAction handleClose(FilterChainContext ctx) {
            Connection<?> closed = ctx.getConnection();
            Part part = parts.remove(closed);
            // Where no length is told the end of the connection is the answer's, but a reset is none, and looks the
            // same from here:
            // only a body that is whole by itself counts.
            if (part != null && part.untilEnd && isWhole(part.body.toByteArray())) {
                hand(closed, part, true);
            } else {
                loop.execute(() -> {
                    Line line = lineOf(closed);
                    if (line != null) {
                        line.lost("the connection broke", Failure.BROKEN);
                    }
                });
            }
            return ctx.getStopAction();
        }
    }
}
