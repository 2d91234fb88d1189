package mintstair.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import mintstair.decision.RouterActions;

/** Writes the actions of one instance to the reply, which all instances share. Not thread-safe. */
final class ActionWriter implements RouterActions {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final StringBuilder reply;
    private final int instance;

    ActionWriter(StringBuilder reply, int instance) {
        this.reply = reply;
        this.instance = instance;
    }

    @Override
    public void send(long request, String host, long abandonAtMicros, long beginByMicros) {
        beginMessage("handOff").append(',').append(request);
        appendString(host);
        if (abandonAtMicros > 0) {
            appendSeconds(abandonAtMicros);
        }
        endMessage();
    }

    @Override
    public void cancel(long request, int attempt) {
        beginMessage("retract").append(',').append(request).append(',').append(attempt);
        endMessage();
    }

    @Override
    public void reject(long request, long retryAfterMicros) {
        beginMessage("busy").append(',').append(request);
        appendSeconds(retryAfterMicros);
        endMessage();
    }

    @Override
    public void fail(long request) {
        beginMessage("endFailed").append(',').append(request);
        endMessage();
    }

    @Override
    public void checkHealth(String host) {
        beginMessage("askLoad");
        appendString(host);
        endMessage();
    }

    @Override
    public void startTimer(String name, long delayMicros) {
        beginMessage("sleep");
        appendString(name);
        appendSeconds(delayMicros);
        endMessage();
    }

    @Override
    public void subscribe() {
        beginMessage("keepInformed").append(",true");
        endMessage();
    }

    @Override
    public void broadcast(String message) {
        beginMessage("broadcastTo");
        appendString("*");
        appendString(message);
        endMessage();
    }

    @Override
    public void log(String line) {
        beginMessage("journalLine");
        appendString(line);
        endMessage();
    }

    /** Completes the reply to a batch, writes it to {@code out} and clears it for the next batch. */
    static void flush(StringBuilder reply, OutputStream out) throws IOException {
        reply.append("[\"next\"]\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        reply.setLength(0);
    }

    private StringBuilder beginMessage(String name) {
        return reply.append("[\"").append(name).append("\",").append(instance);
    }

    private void endMessage() {
        reply.append("]\n");
    }

    /** Appends a time in seconds with six decimal places, computed in integers to avoid rounding errors. */
    private void appendSeconds(long micros) {
        reply.append(',').append(micros / MICROS_PER_SECOND).append('.');
        long fraction = micros % MICROS_PER_SECOND;
        for (long digit = MICROS_PER_SECOND / 10; digit > 0; digit /= 10) {
            reply.append((char) ('0' + fraction / digit % 10));
        }
    }

    private void appendString(String value) {
        reply.append(",\"");
        for (int i = 0; i < value.length(); i++) {
            char character = value.charAt(i);
            if (character == '"' || character == '\\') {
                reply.append('\\').append(character);
            } else if (character < ' ') {
                reply.append(String.format("\\u%04x", (int) character));
            } else {
                reply.append(character);
            }
        }
        reply.append('"');
    }
}
