package mintstair.front;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.function.Consumer;
import mintstair.request.Exchange;
import mintstair.request.ProxyRequest;
import mintstair.request.Response;
import mintstair.request.ResponseListener;
import mintstair.wire.Framer;
import mintstair.wire.MessageFilter;
import mintstair.wire.ProtocolException;
import mintstair.wire.ReadThrottle;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.IOEvent;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;
import org.glassfish.grizzly.nio.NIOConnection;

/** One client connection: a command at a time, answered in order. All but reading is on the loop. */
public abstract class ClientSession implements MessageFilter.Listener {
    /** What a client may have sent ahead of its answers; one that goes on is not reading them. */
    private static final int MOST_PENDING = 512 * 1024;

    private static final int MOST_COMMANDS = 64;
    /** What was read and not yet looked at; past it nothing more is read, so that a flood waits in its own socket. */
    private static final int MOST_UNREAD = 64 * 1024;
    /** For the start-up, for the rest of a message that has begun, and for the end of what is cut off. */
    private static final long PATIENCE = 2_500_000;
    /** A client that takes nothing of its answer for so long is gone. */
    private static final long WRITE_PATIENCE = 5_000_000;

    private static final long NEVER = Long.MAX_VALUE;
    private static final int LAST_LOOK = 4 * 1024;
    /**
     * For so long, and so many bytes, what a client goes on sending after its last words is read and dropped: a close over unread
     * bytes resets the connection, and the words, or an answer before them, may be lost on the way.
     */
    private static final long LINGER = 250_000;

    private static final int MOST_LINGERED = 256 * 1024;

    /** One whole message, and when its last byte was read. */
    private record Command(byte[] message, long readAt) {}

    private final Front front;
    private final Connection<?> connection;
    private final Framer framer;
    private final ArrayDeque<Command> commands = new ArrayDeque<>();
    private final ReadThrottle intake;
    private volatile boolean deaf;
    /** Set by the thread that sees the end of the connection: the loop may come to it late. */
    private volatile boolean left;

    private volatile int reads;
    /** Of the reads, those that the loop has taken in. */
    private int looked;

    private boolean heard;
    private boolean asked;
    private int writing;
    private boolean closed;
    private boolean closing;
    private boolean ending;
    private boolean lingers;
    /** What is wrong with what it sent behind its commands, which come first. */
    private String fault;

    private volatile int dropped;
    private byte[] last;
    private int commandBytes;
    private int ahead;
    private long partialSince = NEVER;
    private long endingSince;
    private long writingSince;
    private long idleSince;
    /** When the last answer was written out, and since when the client's time for the command at hand runs. */
    private long answeredAt;

    private long turnSince;
    private Exchange exchange;
    private ClientCloseReason why = ClientCloseReason.LEFT;
    private Recorder.Conversation record = Recorder.Conversation.NONE;

    protected ClientSession(Front front, Connection<?> connection, Framer framer) {
        this.front = front;
        this.connection = connection;
        this.framer = framer;
        intake = new ReadThrottle(connection, MOST_UNREAD, MOST_UNREAD, front.unread, Long.MAX_VALUE);
        idleSince = front.loop.now();
    }

    /** Takes one whole message; throws {@link ProtocolException} where the connection cannot go on after it. */
    protected abstract void command(byte[] message);

    /** The last words to a client that broke the protocol, or null for none. */
    protected abstract byte[] lastWords(String error);

    final void accepted(Recorder recorder) {
        if (recorder != null) {
            record = recorder.begin(
                    (InetSocketAddress) connection.getPeerAddress(), (InetSocketAddress) connection.getLocalAddress());
        }
    }

    /** The last words to a client for which there is no room, or null where its protocol has none. */
    protected abstract byte[] noRoomWords();

    final void turnAway() {
        endsAs(ClientCloseReason.NO_ROOM);
        end(noRoomWords());
    }

    @Override
    @SuppressWarnings("NonAtomicVolatileUpdate") // only the thread that reads this connection writes them
    public final void read(ByteBuffer bytes) {
        if (deaf) {
            dropped += bytes.remaining();
            return;
        }
        reads++;
        int n = bytes.remaining();
        // The loop may come to it late, and the client's time runs meanwhile.
        long readAt = front.loop.now();
        intake.read(n);
        front.loop.execute(() -> {
            looked++;
            record.said(true, bytes.array());
            if (!closed && !ending) {
                take(bytes, readAt);
            }
            intake.used(n);
        });
    }

    private void take(ByteBuffer bytes, long readAt) {
        boolean partial = framer.pending() > 0;
        framer.feed(bytes);
        try {
            for (byte[] m = framer.next(); m != null; m = framer.next()) {
                commands.add(new Command(m, readAt));
                commandBytes += m.length;
                partial = false;
            }
        } catch (ProtocolException e) {
            // What came before it was whole, and is owed its answers as ever; only then comes the error.
            deaf = true;
            closing = true;
            fault = e.getMessage();
            framer.clear();
            partialSince = NEVER;
            goOn();
            return;
        }
        partialSince = framer.pending() == 0 ? NEVER : partial ? partialSince : front.loop.now();
        goOn();
        if (!closed
                && !ending
                && (!front.sentAhead(noteAhead()) || ahead > MOST_PENDING || commands.size() > MOST_COMMANDS)) {
            broken("too much was sent ahead of its answers");
        }
    }

    /** By how many bytes what is held of this client has changed since the last call. */
    private int noteAhead() {
        int change = framer.pending() + commandBytes - ahead;
        ahead += change;
        return change;
    }

    /** Drops what was sent and not looked at. */
    private void forget() {
        framer.clear();
        commands.clear();
        commandBytes = 0;
        partialSince = NEVER;
        front.sentAhead(noteAhead());
    }

    @Override
    public final void closed() {
        left = true;
        front.closed();
        intake.end();
        front.loop.execute(() -> {
            closed = true;
            front.counters.clientEnded(why);
            forget();
            record.ended();
            front.left(this);
            if (exchange != null) {
                front.dispatcher.clientDisconnected(exchange);
            }
        });
    }

    /** Notes why the connection is going to end; the first reason stands. */
    private void endsAs(ClientCloseReason reason) {
        why = why == ClientCloseReason.LEFT ? reason : why;
    }

    /** Ends what has been waited for long enough: a start-up, the rest of a message, a client that does not read. */
    final void sweep(long now) {
        if (lingers) {
            if (now - endingSince > LINGER || dropped > MOST_LINGERED) {
                close();
            }
        } else if (ending ? now - endingSince > PATIENCE : writing > 0 && now - writingSince > WRITE_PATIENCE) {
            cutOff(now);
        } else if (!ending && !heard && now - idleSince > PATIENCE) {
            broken("the connection was not started in time");
        } else if (!ending && now - Math.min(now, partialSince) > PATIENCE) {
            broken("a message was not finished in time");
        }
    }

    /** What an ending client still waits for is given up: it is told so by its last words, or by the close. */
    private void cutOff(long now) {
        if (exchange == null || writing > 0 || last == null) {
            endsAs(ClientCloseReason.NOT_READING);
            closed = true;
            connection.terminateSilently();
            return;
        }
        Exchange open = exchange;
        exchange = null;
        front.dispatcher.clientDisconnected(open);
        endingSince = now;
        finish();
    }

    /** Whether it has not sent a byte. */
    final boolean isMute() {
        return reads == 0;
    }

    /** Whether it is closed once it has what it is owed. */
    final boolean isLeaving() {
        return closing;
    }

    /** Whether it has asked for anything. */
    final boolean hasAsked() {
        return asked;
    }

    /** Which of two that have nothing open is to go first: see {@link Front#evictOne}. */
    final boolean goesBefore(ClientSession other) {
        return rank() != other.rank() ? rank() < other.rank() : idleSince < other.idleSince;
    }

    private int rank() {
        return isMute() ? 0 : asked ? 2 : 1;
    }

    /** Since when nothing has been open here, or never where something is. */
    final long idleSince() {
        boolean open = closed
                || closing
                || fault != null
                || exchange != null
                || writing > 0
                || ending
                || framer.pending() > 0
                || !commands.isEmpty();
        return open ? NEVER : idleSince;
    }

    /** Ends with its last words what waits for the rest of a message, where no request is held. */
    final void endUnfinished() {
        if (!closed && exchange == null && commands.isEmpty() && framer.pending() > 0) {
            endsAs(ClientCloseReason.DRAINED);
            end(lastWords("this proxy is ending, and the message was not finished"));
        }
    }

    /** Closes now, where no request is held, else after its answer, for this reason. */
    final void drain(ClientCloseReason reason) {
        endsAs(reason);
        drain();
    }

    private void drain() {
        closing = true;
        if (!closed && exchange == null && writing == 0 && framer.pending() == 0 && commands.isEmpty()) {
            if (deaf) {
                linger();
                return;
            }
            // What was read and is still on its way here counts as heard: its request would be cut off after it was
            // sent on.
            int heardThen = looked;
            ((NIOConnection) connection).executeInEventThread(IOEvent.READ, () -> closeUnlessHeard(heardThen));
        }
    }

    /** Nothing more is taken or said: the client hears the end at once, and the connection is closed when it is silent too. */
    private void linger() {
        if (lingers) {
            return;
        }
        lingers = true;
        endingSince = front.loop.now();
        ((NIOConnection) connection).executeInEventThread(IOEvent.READ, () -> {
            SocketChannel channel = (SocketChannel) ((NIOConnection) connection).getChannel();
            try {
                channel.shutdownOutput();
                if (!front.isCrowded()) {
                    return;
                }
                // No descriptor is left for lingering: what has come by now is all that is read.
                ByteBuffer unread = ByteBuffer.allocate(LAST_LOOK);
                for (int n = 0; n < MOST_LINGERED && channel.read(unread) > 0; n += LAST_LOOK) {
                    unread.clear();
                }
            } catch (IOException e) {
                // It is broken, and closed here as well.
            }
            connection.closeSilently();
        });
    }

    /**
     * The last look, on the thread that reads: a request that lies unread in the socket, or came while the loop was on its
     * way here, would be reset by the close, so it is taken instead; its answer is followed by the next last look.
     */
    private void closeUnlessHeard(int heardThen) {
        if (deaf || reads != heardThen) {
            return;
        }
        try {
            ByteBuffer last = ByteBuffer.allocate(LAST_LOOK);
            if (((SocketChannel) ((NIOConnection) connection).getChannel()).read(last) > 0) {
                read(ByteBuffer.wrap(Arrays.copyOf(last.array(), last.position())));
                return;
            }
        } catch (IOException e) {
            // It is broken, and closed here as well.
        }
        deaf = true;
        connection.closeSilently();
    }

    protected final void close() {
        endsAs(ClientCloseReason.QUIT);
        closed = true;
        deaf = true;
        connection.closeSilently();
    }

    /** The next command is looked at when the answer to the last is written out: what does not read, waits. */
    private void goOn() {
        try {
            while (!closed && !left && !ending && exchange == null && writing == 0 && !commands.isEmpty()) {
                Command next = commands.poll();
                commandBytes -= next.message.length;
                // The time that a command spent behind those before it is not its own.
                turnSince = Math.max(next.readAt, answeredAt);
                command(next.message);
                heard = true;
                idleSince = front.loop.now();
            }
            if (fault != null && !closed && exchange == null && commands.isEmpty()) {
                broken(fault);
            }
        } catch (ProtocolException e) {
            broken(e.getMessage());
        }
    }

    private void broken(String error) {
        front.counters.malformed++;
        endsAs(ClientCloseReason.PROTOCOL_ERROR);
        end(lastWords(error));
    }

    /** Takes nothing more from this client; what it waits for is still answered, then come the words and the end. */
    private void end(byte[] words) {
        if (ending) {
            return;
        }
        ending = true;
        deaf = true;
        closing = true;
        endingSince = front.loop.now();
        last = words;
        forget();
        finish();
    }

    private void finish() {
        if (ending && last != null && exchange == null && writing == 0) {
            byte[] words = last;
            last = null;
            write(words);
        } else if (closing) {
            drain();
        }
    }

    /** Hands a request on and answers it when its final answer is there. */
    protected final void submit(ProxyRequest request, Consumer<Response> answer) {
        asked = true;
        boolean[] answered = new boolean[1];
        long waited = Math.max(0, front.loop.now() - turnSince);
        Exchange submitted = front.dispatcher.submit(request, waited, new ResponseListener() {
            @Override
            public void answer(Response a) {
                answered[0] = true;
                exchange = null;
                answer.accept(a);
                goOn();
            }

            @Override
            public boolean isGone() {
                return left;
            }

            @Override
            public void part(byte[] bytes, Runnable taken) {
                write(bytes, taken);
            }

            @Override
            public void cut() {
                // In the middle of a message: no client takes what it has for the whole.
                endsAs(ClientCloseReason.ANSWER_BROKE_OFF);
                exchange = null;
                closed = true;
                connection.terminateSilently();
            }
        });
        if (!answered[0]) {
            exchange = submitted;
        }
    }

    protected final void write(byte[] words) {
        write(words, () -> {});
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    private void write(byte[] words, Runnable taken) {
        if (closed) {
            return;
        }
        writing++;
        writingSince = front.loop.now();
        record.said(false, words);
        ((Connection) connection)
                .write(
                        Buffers.wrap(front.transport.getMemoryManager(), words),
                        new EmptyCompletionHandler<WriteResult>() {
                            @Override
                            public void completed(WriteResult result) {
                                // The loop may come to it late, and the time of the next command runs from here.
                                long writtenAt = front.loop.now();
                                front.loop.execute(() -> {
                                    taken.run();
                                    written(writtenAt);
                                });
                            }

                            @Override
                            public void failed(Throwable why) {
                                connection.terminateSilently();
                            }
                        });
    }

    private void written(long at) {
        writing--;
        idleSince = front.loop.now();
        writingSince = idleSince;
        answeredAt = Math.max(answeredAt, at);
        goOn();
        finish();
    }
}
