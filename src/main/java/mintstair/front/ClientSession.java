package mintstair.front;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import mintstair.request.Exchange;
import mintstair.request.ProxyRequest;
import mintstair.request.Response;
import mintstair.request.ResponseListener;
import mintstair.wire.Framer;
import mintstair.wire.MessageFilter;
import mintstair.wire.ProtocolException;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.Connection;

/**
 * One client connection. Commands run one at a time and are answered in order; the next one runs when the response to
 * the last is written out, so that a client that does not read its responses waits. {@link SessionState} has the
 * states and their transitions.
 *
 * <p>Runs on the event loop, but for {@link #read} and {@link #closed}.
 */
public abstract class ClientSession implements MessageFilter.Listener {
    /** For the start-up, for the rest of a message that has begun, and for the response to a request when it ends. */
    private static final long READ_TIMEOUT_MICROS = 2_500_000;
    /** For so long at most the input of a client is discarded once its session is over. */
    private static final long LINGER_TIMEOUT_MICROS = 250_000;

    private static final long NEVER = Long.MAX_VALUE;

    private final Front front;
    private final Connection<?> connection;
    private final SessionInput input;
    private final CommandQueue commands;
    private final ResponseWriter writer;
    private SessionState state = SessionState.OPEN;
    /** Set by the thread that sees the end of the connection, as the event loop may be busy. */
    private volatile boolean disconnected;
    /** Whether {@link Front} no longer counts it; a connection that is closed at once is counted until it is gone. */
    private boolean leaving;

    private boolean started;
    private boolean requestSubmitted;
    /** What is wrong with the input behind the queued commands; null while nothing is. */
    private String inputError;
    /** What is sent when the last response is written; null for nothing. */
    private byte[] finalMessage;

    private long endingSinceMicros;
    private long idleSinceMicros;
    /** Since when the timeout of the current command runs. */
    private long commandSinceMicros;

    private Exchange exchange;
    private ClientCloseReason closeReason = ClientCloseReason.LEFT;
    private Recorder.Conversation transcript = Recorder.Conversation.NONE;

    protected ClientSession(Front front, Connection<?> connection, Framer framer) {
        this.front = front;
        this.connection = connection;
        input = new SessionInput(connection, front, this::received);
        commands = new CommandQueue(framer, front.loop::now);
        writer = new ResponseWriter(connection, front.transport.getMemoryManager(), front.loop, this::written);
        idleSinceMicros = front.loop.now();
    }

    /**
     * Runs one command.
     *
     * @throws ProtocolException where the connection cannot go on after it
     */
    protected abstract void command(byte[] message);

    /** The message by which a connection ends that broke the protocol; null for none. */
    protected abstract byte[] protocolErrorMessage(String error);

    /** The message to a client that is rejected as there are too many; null where its protocol has none. */
    protected abstract byte[] tooManyClientsMessage();

    /** Begins to record the connection, where there is a recorder. */
    final void accepted(Recorder recorder) {
        if (recorder != null) {
            transcript = recorder.begin(
                    (InetSocketAddress) connection.getPeerAddress(), (InetSocketAddress) connection.getLocalAddress());
        }
    }

    /** Ends a connection for which there is no room. */
    final void reject() {
        setCloseReason(ClientCloseReason.NO_ROOM);
        terminate(tooManyClientsMessage());
    }

    @Override
    public final void read(ByteBuffer bytes) {
        input.read(bytes);
    }

    private void received(ByteBuffer bytes, long readAtMicros) {
        transcript.record(true, bytes.array());
        if (state.acceptsInput()) {
            enqueue(bytes, readAtMicros);
        }
    }

    private void enqueue(ByteBuffer bytes, long readAtMicros) {
        try {
            commands.append(bytes, readAtMicros);
        } catch (ProtocolException e) {
            inputFailed(e);
            return;
        }
        runCommands();
        if (!state.acceptsInput()) {
            return;
        }
        boolean withinFrontLimit = front.accountPipelined(commands.heldBytesChange());
        if (!withinFrontLimit || commands.isOverLimit()) {
            failProtocol("too much was sent ahead of its answers");
        }
    }

    /** The commands before the error are whole, and are answered first. */
    private void inputFailed(ProtocolException error) {
        input.discard();
        leaving = true;
        state = state.after(SessionState.Event.INPUT_ERROR);
        inputError = error.getMessage();
        runCommands();
    }

    @Override
    public final void closed() {
        disconnected = true;
        front.connectionClosed();
        input.end();
        front.loop.execute(this::release);
    }

    private void release() {
        state = state.after(SessionState.Event.CLOSE);
        front.counters.clientConnectionClosed(closeReason);
        discardCommands();
        transcript.ended();
        front.remove(this);
        if (exchange != null) {
            front.dispatcher.clientDisconnected(exchange);
        }
    }

    private void discardCommands() {
        commands.clear();
        front.accountPipelined(commands.heldBytesChange());
    }

    /** The first reason counts. */
    private void setCloseReason(ClientCloseReason reason) {
        if (closeReason == ClientCloseReason.LEFT) {
            closeReason = reason;
        }
    }

    /** Ends the session where one of its timeouts has passed. */
    final void checkTimeouts(long nowMicros) {
        switch (state) {
            case OPEN, DRAINING, FAILING -> checkReadAndWriteTimeouts(nowMicros);
            case TERMINATING -> checkTerminationTimeout(nowMicros);
            case LINGERING -> {
                if (nowMicros - endingSinceMicros > LINGER_TIMEOUT_MICROS || input.isDiscardLimitExceeded()) {
                    close();
                }
            }
            default -> {
                // A closed session has no timeouts.
            }
        }
    }

    private void checkReadAndWriteTimeouts(long nowMicros) {
        if (writer.isStalled(nowMicros)) {
            abort(ClientCloseReason.NOT_READING);
        } else if (!started && nowMicros - idleSinceMicros > READ_TIMEOUT_MICROS) {
            failProtocol("the connection was not started in time");
        } else if (commands.partialForMicros(nowMicros) > READ_TIMEOUT_MICROS) {
            failProtocol("a message was not finished in time");
        }
    }

    private void checkTerminationTimeout(long nowMicros) {
        if (nowMicros - endingSinceMicros <= READ_TIMEOUT_MICROS) {
            return;
        }
        if (exchange == null || writer.isWriting() || finalMessage == null) {
            abort(ClientCloseReason.NOT_READING);
            return;
        }
        // The client learns by the final message that its request gets no response.
        Exchange abandoned = exchange;
        exchange = null;
        front.dispatcher.clientDisconnected(abandoned);
        endingSinceMicros = nowMicros;
        endWhenWritten();
    }

    /** What an eviction would take from the client. */
    final EvictionClass evictionClass() {
        if (input.isSilent()) {
            return EvictionClass.SILENT;
        }
        return requestSubmitted ? EvictionClass.ACTIVE : EvictionClass.UNAUTHENTICATED;
    }

    /** Whether the connection ends by itself, so that it need not be evicted. */
    final boolean isLeaving() {
        return leaving;
    }

    /** Since when it has been open with nothing in flight, or {@link Long#MAX_VALUE} where that is not so. */
    final long idleSinceMicros() {
        return state == SessionState.OPEN && hasNothingInFlight() ? idleSinceMicros : NEVER;
    }

    private boolean hasNothingInFlight() {
        return exchange == null && !writer.isWriting() && !commands.hasPartialMessage() && commands.isEmpty();
    }

    /** Ends the session with its final message where it waits only for the rest of a message. */
    final void endUnfinished() {
        if (state != SessionState.CLOSED && exchange == null && commands.isEmpty() && commands.hasPartialMessage()) {
            setCloseReason(ClientCloseReason.DRAINED);
            terminate(protocolErrorMessage("this proxy is ending, and the message was not finished"));
        }
    }

    /** Closes the connection for this reason: at once where nothing is in flight, else after the response. */
    final void drain(ClientCloseReason reason) {
        setCloseReason(reason);
        drain();
    }

    private void drain() {
        leaving = true;
        state = state.after(SessionState.Event.DRAIN);
        if (state == SessionState.CLOSED || !hasNothingInFlight()) {
            return;
        }
        if (input.isDiscarding()) {
            linger();
        } else {
            input.closeIfNothingToRead();
        }
    }

    private void linger() {
        if (state == SessionState.LINGERING) {
            return;
        }
        state = state.after(SessionState.Event.LINGER);
        endingSinceMicros = front.loop.now();
        input.shutdownOutput(front::isFull);
    }

    /** Closes the connection at once, as the client asked for it. */
    protected final void close() {
        setCloseReason(ClientCloseReason.QUIT);
        state = state.after(SessionState.Event.CLOSE);
        input.discard();
        connection.closeSilently();
    }

    /** Resets the connection, with which its unwritten responses are lost. */
    private void abort(ClientCloseReason reason) {
        setCloseReason(reason);
        state = state.after(SessionState.Event.CLOSE);
        connection.terminateSilently();
    }

    private void runCommands() {
        try {
            while (mayRunCommand()) {
                CommandQueue.Command next = commands.poll();
                // A command's own timeout does not include the time spent on those before it.
                commandSinceMicros = Math.max(next.readAtMicros(), writer.lastCompletedAtMicros());
                command(next.message());
                started = true;
                idleSinceMicros = front.loop.now();
            }
            // Also counts an error of the input again with each response that is written after it was reported.
            if (inputError != null && state != SessionState.CLOSED && exchange == null && commands.isEmpty()) {
                failProtocol(inputError);
            }
        } catch (ProtocolException e) {
            failProtocol(e.getMessage());
        }
    }

    private boolean mayRunCommand() {
        boolean answered = exchange == null && !writer.isWriting();
        return state.acceptsInput() && !disconnected && answered && !commands.isEmpty();
    }

    private void failProtocol(String error) {
        front.countMalformed();
        setCloseReason(ClientCloseReason.PROTOCOL_ERROR);
        terminate(protocolErrorMessage(error));
    }

    /** Takes nothing more from the client; a request in flight is still answered before the final message. */
    private void terminate(byte[] message) {
        if (!state.acceptsInput()) {
            return;
        }
        state = state.after(SessionState.Event.TERMINATE);
        input.discard();
        leaving = true;
        endingSinceMicros = front.loop.now();
        finalMessage = message;
        discardCommands();
        endWhenWritten();
    }

    /** Sends the final message, or closes the connection, where its time has come. */
    private void endWhenWritten() {
        boolean answered = exchange == null && !writer.isWriting();
        if (state == SessionState.TERMINATING && finalMessage != null && answered) {
            byte[] message = finalMessage;
            finalMessage = null;
            write(message);
        } else if (leaving) {
            drain();
        }
    }

    /** Submits a request, which must be the only one; {@code onResponse} runs once, unless the client is gone. */
    protected final void submit(ProxyRequest request, Consumer<Response> onResponse) {
        requestSubmitted = true;
        long waitedMicros = Math.max(0, front.loop.now() - commandSinceMicros);
        PendingResponse pending = new PendingResponse(onResponse);
        Exchange submitted = front.dispatcher.submit(request, waitedMicros, pending);
        if (!pending.answered) {
            exchange = submitted;
        }
    }

    /** Takes the response to the one request in flight. */
    private final class PendingResponse implements ResponseListener {
        private final Consumer<Response> onResponse;
        private boolean answered;

        PendingResponse(Consumer<Response> onResponse) {
            this.onResponse = onResponse;
        }

        @Override
        public void onResponse(Response response) {
            answered = true;
            exchange = null;
            onResponse.accept(response);
            runCommands();
        }

        @Override
        public boolean isDisconnected() {
            return disconnected;
        }

        @Override
        public void onResponsePart(byte[] bytes, Runnable onForwarded) {
            write(bytes, onForwarded);
        }

        @Override
        public void onResponseAborted() {
            exchange = null;
            // A reset in the middle of a message: no client takes what it has for the whole.
            abort(ClientCloseReason.ANSWER_BROKE_OFF);
        }
    }

    protected final void write(byte[] message) {
        write(message, () -> {});
    }

    private void write(byte[] bytes, Runnable onWritten) {
        if (state == SessionState.CLOSED) {
            return;
        }
        transcript.record(false, bytes);
        writer.write(bytes, onWritten);
    }

    private void written(long nowMicros) {
        idleSinceMicros = nowMicros;
        runCommands();
        endWhenWritten();
    }
}
