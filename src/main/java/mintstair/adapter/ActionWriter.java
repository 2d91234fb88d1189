package mintstair.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import mintstair.decision.RouterActions;

/**
 * Writes the actions of one instance to the reply, which the instances of a batch share. Not safe for use by several
 * threads.
 */
final class ActionWriter implements RouterActions {
    private static final long MICROS_PER_SECOND = 1_000_000;

    private final StringBuilder reply;
    private final int instance;

    ActionWriter(StringBuilder reply, int instance) {
        this.reply = reply;
        this.instance = instance;
    }

    @Override
    public void send(long id, String host, long abandonAt, long beginBy) {
        begin("handOff").append(',').append(id);
        text(host);
        if (abandonAt > 0) {
            seconds(abandonAt);
        }
        end();
    }

    @Override
    public void cancel(long id, int attempt) {
        begin("retract").append(',').append(id).append(',').append(attempt);
        end();
    }

    @Override
    public void reject(long id, long retryAfterMicros) {
        begin("busy").append(',').append(id);
        seconds(retryAfterMicros);
        end();
    }

    @Override
    public void fail(long id) {
        begin("endFailed").append(',').append(id);
        end();
    }

    @Override
    public void checkHealth(String host) {
        begin("askLoad");
        text(host);
        end();
    }

    @Override
    public void startTimer(String name, long delayMicros) {
        begin("sleep");
        text(name);
        seconds(delayMicros);
        end();
    }

    @Override
    public void subscribe() {
        begin("keepInformed").append(",true");
        end();
    }

    @Override
    public void broadcast(String message) {
        begin("broadcastTo");
        text("*");
        text(message);
        end();
    }

    @Override
    public void log(String line) {
        begin("journalLine");
        text(line);
        end();
    }

    /** Ends the reply of a batch, writes it, and leaves it empty for the next. */
    static void flush(StringBuilder reply, OutputStream out) throws IOException {
        reply.append("[\"next\"]\n");
        out.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        out.flush();
        reply.setLength(0);
    }

    private StringBuilder begin(String name) {
        return reply.append("[\"").append(name).append("\",").append(instance);
    }

    private void end() {
        reply.append("]\n");
    }

    /** A number of seconds with six digits after the point, without the rounding of a double. */
    private void seconds(long micros) {
        reply.append(',').append(micros / MICROS_PER_SECOND).append('.');
        long fraction = micros % MICROS_PER_SECOND;
        for (long digit = MICROS_PER_SECOND / 10; digit > 0; digit /= 10) {
            reply.append((char) ('0' + fraction / digit % 10));
        }
    }

    private void text(String value) {
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
