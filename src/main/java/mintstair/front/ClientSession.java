package mintstair.front;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import mintstair.request.Answer;
import mintstair.request.Exchange;
import mintstair.request.ProxyRequest;
import mintstair.wire.Framer;
import mintstair.wire.MessageFilter;
import mintstair.wire.ProtocolException;
import org.glassfish.grizzly.Connection;
import org.glassfish.grizzly.EmptyCompletionHandler;
import org.glassfish.grizzly.WriteResult;
import org.glassfish.grizzly.memory.Buffers;

/** One client connection: a command at a time, answered in order. All but reading is on the loop. */
public abstract class ClientSession implements MessageFilter.Listener {
    /** What a client may have sent ahead of its answers; one that goes on is not reading them. */
    private static final int MOST_PENDING = 1024 * 1024;

    private final Front front;
    private final Connection<?> connection;
    private final Framer framer;
    private boolean writing;
    private boolean held;
    private boolean closed;
    private boolean closing;
    private boolean ending;
    private byte[] last;
    private int ahead;
    private Exchange exchange;
    private Recorder.Conversation record = Recorder.Conversation.NONE;

    protected ClientSession(Front front, Connection<?> connection, Framer framer) {
        this.front = front;
        this.connection = connection;
        this.framer = framer;
    }

    /** Takes one whole message; throws {@link ProtocolException} where the connection cannot go on after it. */
    protected abstract void command(byte[] message);

    /** The last words to a client that broke the protocol, or null for none. */
    protected abstract byte[] lastWords(String error);

    final void accepted(Recorder recorder) {
        if (recorder != null) {
            record = recorder.begin((InetSocketAddress) connection.getPeerAddress(),
                (InetSocketAddress) connection.getLocalAddress());
        }
    }

    /** The last words to a client for which there is no room, or null where its protocol has none. */
    protected abstract byte[] noRoomWords();

    final void turnAway() {
        end(noRoomWords());
    }

    @Override
    public final void read(ByteBuffer bytes) {
        front.loop.execute(() -> {
            record.said(true, bytes.array());
            if (!closed && !ending) {
                framer.feed(bytes);
                goOn();
                if (!front.sentAhead(noteAhead()) || ahead > MOST_PENDING) {
                    broken("too much was sent ahead of its answers");
                }
            }
        });
    }

    /** By how many bytes what is held of this client has changed since the last call. */
    private int noteAhead() {
        int change = framer.pending() - ahead;
        ahead += change;
        return change;
    }

    @Override
    public final void closed() {
        front.loop.execute(() -> {
            closed = true;
            framer.clear();
            front.sentAhead(noteAhead());
            record.ended();
            front.left(this);
            if (exchange != null) {
                front.dispatcher.clientGone(exchange);
            }
        });
    }

    /** Closes now, where no request is held, else after its answer. */
    final void closeWhenIdle() {
        closing = true;
        if (!closed && exchange == null && !writing && framer.pending() == 0) {
            close();
        }
    }

    protected final void close() {
        closed = true;
        connection.closeSilently();
    }

    /** The next command is looked at when the answer to the last is written out: what does not read, waits. */
    private void goOn() {
        try {
            while (!closed && !ending && exchange == null && !writing && !held) {
                byte[] message = framer.next();
                if (message == null) {
                    break;
                }
                command(message);
            }
        } catch (ProtocolException e) {
            broken(e.getMessage());
        }
    }

    private void broken(String error) {
        front.counters.malformed++;
        end(lastWords(error));
    }

    /** Takes nothing more from this client; what it waits for is still answered, then come the words and the end. */
    private void end(byte[] words) {
        ending = true;
        closing = true;
        last = words;
        framer.clear();
        front.sentAhead(noteAhead());
        finish();
    }

    private void finish() {
        if (ending && last != null && exchange == null && !writing) {
            byte[] words = last;
            last = null;
            write(words);
        } else if (closing) {
            closeWhenIdle();
        }
    }

    /** Writes this as soon as the proxy can serve, and takes no further command before. */
    protected final void writeWhenReady(byte[] words) {
        held = true;
        front.whenReady(() -> {
            held = false;
            write(words);
        });
    }

    /** Hands a request on and answers it when its final answer is there. */
    protected final void submit(ProxyRequest request, Consumer<Answer> answer) {
        boolean[] answered = new boolean[1];
        Exchange submitted = front.dispatcher.submit(request, a -> {
            answered[0] = true;
            exchange = null;
            answer.accept(a);
            goOn();
        });
        if (!answered[0]) {
            exchange = submitted;
        }
    }

    @SuppressWarnings({"unchecked", "rawtypes"})
    protected final void write(byte[] words) {
        if (closed) {
            return;
        }
        writing = true;
        record.said(false, words);
        ((Connection) connection).write(Buffers.wrap(front.transport.getMemoryManager(), words),
            new EmptyCompletionHandler<WriteResult>() {
                @Override
                public void completed(WriteResult result) {
                    front.loop.execute(() -> written());
                }

                @Override
                public void failed(Throwable why) {
                    connection.closeSilently();
                }
            });
    }

    private void written() {
        writing = false;
        goOn();
        finish();
    }
}
