package mintstair.front;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import mintstair.request.ProxyRequest;
import mintstair.request.Response;
import mintstair.request.ResponseListener;
import mintstair.wire.Framer;
import mintstair.wire.MessageFilter;
import mintstair.wire.ProtocolException;
import mintstair.wire.Recorder;
import org.glassfish.grizzly.Connection;

/**
 * One client connection. Commands run one at a time and are answered in order; the next one runs once the response to
 * the previous one has been written, so that a client that does not read its responses is not served further.
 * {@link SessionState} defines the states and their transitions.
 *
 * <p>Runs on the event loop, except for {@link #read}, which runs on the network thread, and {@link #closed}, which
 * runs on the thread that detects the end of the connection.
 */
public abstract class ClientSession implements MessageFilter.Listener {
    /** Bounds the start-up, the rest of an incomplete message, and the last response of a terminating session. */
    private static final long READ_TIMEOUT_MICROS = 2_500_000;
    /** Maximum time for which the input of a client is discarded after the end of its session. */
    private static final long LINGER_TIMEOUT_MICROS = 250_000;

    private final Front front;
    private final Connection<?> connection;
    private final SessionInput input;
    private final CommandQueue commands;
    private final InputFlowControl flow;
    private final RequestInFlight request;
    private final ResponseWriter writer;
    private SessionState state = SessionState.OPEN;
    /** Set by the thread that detects the end of the connection, as the event loop may be busy. */
    private volatile boolean disconnected;
    /** Whether {@link Front} no longer counts the session; one closed at once is counted until it is removed. */
    private boolean closing;

    private boolean started;
    private boolean requestSubmitted;
    /** The error in the input after the queued commands, such as a message that is never completed; or null. */
    private String inputError;
    /** The message that is sent after the last response has been written; null for none. */
    private byte[] finalMessage;

    private long endingSinceMicros;
    private long idleSinceMicros;
    /** The start of the timeout of the current command. */
    private long commandSinceMicros;

    private ClientCloseReason closeReason = ClientCloseReason.LEFT;
    private Recorder.Conversation transcript = Recorder.Conversation.NONE;

    protected ClientSession(Front front, Connection<?> connection, Framer framer) {
        this.front = front;
        this.connection = connection;
        input = new SessionInput(connection, front, this::received);
        commands = new CommandQueue(framer, front.loop::now);
        flow = new InputFlowControl(input, commands, front.memoryBudget, front.loop::now);
        request = new RequestInFlight(front.dispatcher, flow);
        writer = new ResponseWriter(connection, front.transport.getMemoryManager(), front.loop, this::written);
        idleSinceMicros = front.loop.now();
    }

    /**
     * Runs one command.
     *
     * @throws ProtocolException if the connection cannot be used any further
     */
    protected abstract void runCommand(byte[] message);

    /** Returns the last message on a connection that violated the protocol; null for none. */
    protected abstract byte[] protocolErrorMessage(String error);

    /** Returns the message that rejects a client when there are too many; null if the protocol has none. */
    protected abstract byte[] tooManyClientsMessage();

    /** Starts to record the connection, unless the recorder is null. */
    final void startRecording(Recorder recorder) {
        if (recorder != null) {
            transcript = recorder.begin(
                    (InetSocketAddress) connection.getPeerAddress(), (InetSocketAddress) connection.getLocalAddress());
        }
    }

    /** Rejects the client because there are too many clients. */
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
        if (state.acceptsInput() && inputError == null) {
            enqueue(bytes, readAtMicros);
        }
    }

    private void enqueue(ByteBuffer bytes, long readAtMicros) {
        try {
            commands.append(bytes, readAtMicros);
        } catch (ProtocolException e) {
            inputFailed(e.getMessage());
            return;
        }
        runCommands();
    }

    /** Discards further input; the complete commands before the error are answered before it is reported. */
    private void inputFailed(String error) {
        flow.discardInput();
        closing = true;
        state = state.after(SessionState.Event.INPUT_ERROR);
        inputError = error;
        runCommands();
    }

    @Override
    public final void closed() {
        disconnected = true;
        front.connectionClosed();
        input.release();
        front.loop.execute(this::release);
    }

    private void release() {
        state = state.after(SessionState.Event.CLOSE);
        front.counters.clientConnectionClosed(closeReason);
        flow.release();
        transcript.ended();
        front.remove(this);
        request.abandon();
    }

    /** Sets the reason unless one was set before. */
    private void setCloseReason(ClientCloseReason reason) {
        if (closeReason == ClientCloseReason.LEFT) {
            closeReason = reason;
        }
    }

    /** Ends the session if one of its timeouts has expired. */
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
        flow.update(isResponsePending());
        if (flow.checkUnread(nowMicros)) {
            abort(ClientCloseReason.LEFT);
        } else if (writer.isStalled(nowMicros)) {
            abort(ClientCloseReason.NOT_READING);
        } else if (!input.hasUnprocessedReads()) {
            checkReadTimeouts(nowMicros);
        }
    }

    private void checkReadTimeouts(long nowMicros) {
        if (!started && nowMicros - idleSinceMicros > READ_TIMEOUT_MICROS) {
            failProtocol("the connection was not started in time");
        } else if (commands.partialMessageAgeMicros(nowMicros) > READ_TIMEOUT_MICROS) {
            inputFailed("a message was not finished in time");
        }
    }

    private void checkTerminationTimeout(long nowMicros) {
        if (nowMicros - endingSinceMicros <= READ_TIMEOUT_MICROS) {
            return;
        }
        if (!request.isPending() || writer.isWriting() || finalMessage == null) {
            abort(ClientCloseReason.NOT_READING);
            return;
        }
        // The final message tells the client that its request gets no response.
        request.abandon();
        endingSinceMicros = nowMicros;
        endIfWritten();
    }

    /** Returns the cost of evicting the client. */
    final EvictionClass evictionClass() {
        if (input.isSilent()) {
            return EvictionClass.SILENT;
        }
        return requestSubmitted ? EvictionClass.ACTIVE : EvictionClass.UNAUTHENTICATED;
    }

    /** Whether the connection is ending already, so that it need not be evicted. */
    final boolean isClosing() {
        return closing;
    }

    /** Returns since when nothing has been in flight, or {@link Long#MAX_VALUE} if the session is not open and idle. */
    final long idleSinceMicros() {
        return state == SessionState.OPEN && hasNothingInFlight() ? idleSinceMicros : Long.MAX_VALUE;
    }

    private boolean hasNothingInFlight() {
        return !isResponsePending() && !commands.hasPartialMessage() && commands.isEmpty();
    }

    private boolean isResponsePending() {
        return request.isPending() || writer.isWriting();
    }

    /** Ends the session with a final message if it only waits for the rest of an incomplete message. */
    final void endUnfinished() {
        if (state != SessionState.CLOSED
                && !request.isPending()
                && commands.isEmpty()
                && commands.hasPartialMessage()) {
            setCloseReason(ClientCloseReason.DRAINED);
            terminate(protocolErrorMessage("this proxy is ending, and the message was not finished"));
        }
    }

    /** Closes the connection for this reason: at once if nothing is in flight, otherwise after the response. */
    final void drain(ClientCloseReason reason) {
        setCloseReason(reason);
        drain();
    }

    private void drain() {
        closing = true;
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

    /** Closes the connection at once, as its client has requested. */
    protected final void close() {
        setCloseReason(ClientCloseReason.QUIT);
        state = state.after(SessionState.Event.CLOSE);
        flow.discardInput();
        connection.closeSilently();
    }

    /** Resets the connection; responses that have not been written are lost. */
    private void abort(ClientCloseReason reason) {
        setCloseReason(reason);
        state = state.after(SessionState.Event.CLOSE);
        connection.terminateSilently();
    }

    private void runCommands() {
        try {
            while (canRunCommand()) {
                CommandQueue.Command next = commands.poll();
                // The timeout of a command does not include the time spent on the commands before it.
                commandSinceMicros = Math.max(next.readAtMicros(), writer.lastCompletedAtMicros());
                runCommand(next.message());
                started = true;
                idleSinceMicros = front.loop.now();
            }
            if (state == SessionState.FAILING && !request.isPending() && commands.isEmpty()) {
                failProtocol(inputError);
            }
        } catch (ProtocolException e) {
            failProtocol(e.getMessage());
        }
        flow.update(isResponsePending());
    }

    private boolean canRunCommand() {
        return state.acceptsInput() && !isResponsePending() && !commands.isEmpty() && !isDisconnected();
    }

    private boolean isDisconnected() {
        return disconnected || input.isClosedBehindUnreadInput();
    }

    private void failProtocol(String error) {
        front.countMalformed();
        setCloseReason(ClientCloseReason.PROTOCOL_ERROR);
        terminate(protocolErrorMessage(error));
    }

    /** Discards further input; a request in flight is still answered before the final message. */
    private void terminate(byte[] message) {
        if (!state.acceptsInput()) {
            return;
        }
        state = state.after(SessionState.Event.TERMINATE);
        flow.discardAll();
        closing = true;
        endingSinceMicros = front.loop.now();
        finalMessage = message;
        endIfWritten();
    }

    /** Sends the final message, or closes the connection, once all responses have been written. */
    private void endIfWritten() {
        if (state == SessionState.TERMINATING && finalMessage != null && !isResponsePending()) {
            byte[] message = finalMessage;
            finalMessage = null;
            write(message);
        } else if (closing) {
            drain();
        }
    }

    /**
     * Submits a request, the only one in flight, or rejects it if there is no room for it in memory. {@code onResponse}
     * runs once, unless the client has disconnected.
     *
     * @param heapBytes the heap that the request takes until its response, in bytes
     */
    protected final void submit(ProxyRequest submitted, long heapBytes, Consumer<Response> onResponse) {
        requestSubmitted = true;
        long waitedMicros = Math.max(0, front.loop.now() - commandSinceMicros);
        request.submit(submitted, heapBytes, waitedMicros, new PendingResponse(onResponse));
    }

    /** Receives the response to the request in flight. */
    private final class PendingResponse implements ResponseListener {
        private final Consumer<Response> onResponse;

        PendingResponse(Consumer<Response> onResponse) {
            this.onResponse = onResponse;
        }

        @Override
        public void onResponse(Response response) {
            request.ended();
            onResponse.accept(response);
            runCommands();
        }

        @Override
        public boolean isDisconnected() {
            return ClientSession.this.isDisconnected();
        }

        @Override
        public void onResponsePart(byte[] bytes, Runnable onForwarded) {
            write(bytes, onForwarded);
        }

        @Override
        public void onResponseAborted() {
            request.ended();
            // A reset within a message ensures that the client does not take the partial response for a complete one.
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
        endIfWritten();
    }
}
