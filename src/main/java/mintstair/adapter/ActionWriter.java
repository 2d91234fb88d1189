package mintstair.adapter;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import mintstair.decision.RouterActions;

/** The actions of one instance, written to the reply shared by its batch. */
final class ActionWriter implements RouterActions {
    private final StringBuilder out;
    private final int who;

    ActionWriter(StringBuilder out, int who) {
        this.out = out;
        this.who = who;
    }

    @Override
    public void send(long id, String host, long abandonAt, long beginBy) {
        open("handOff").append(',').append(id);
        text(host);
        if (abandonAt > 0) {
            seconds(abandonAt);
        }
        close();
    }

    @Override
    public void cancel(long id, int attempt) {
        open("retract").append(',').append(id).append(',').append(attempt);
        close();
    }

    @Override
    public void reject(long id, long retryAfterMicros) {
        open("busy").append(',').append(id);
        seconds(retryAfterMicros);
        close();
    }

    @Override
    public void fail(long id) {
        open("endFailed").append(',').append(id);
        close();
    }

    @Override
    public void checkHealth(String host) {
        open("askLoad");
        text(host);
        close();
    }

    @Override
    public void startTimer(String name, long delayMicros) {
        open("sleep");
        text(name);
        seconds(delayMicros);
        close();
    }

    @Override
    public void subscribe() {
        open("keepInformed").append(",true");
        close();
    }

    @Override
    public void broadcast(String message) {
        open("broadcastTo");
        text("*");
        text(message);
        close();
    }

    @Override
    public void log(String line) {
        open("journalLine");
        text(line);
        close();
    }

    static void flush(StringBuilder reply, OutputStream to) throws IOException {
        reply.append("[\"next\"]\n");
        to.write(reply.toString().getBytes(StandardCharsets.UTF_8));
        to.flush();
        reply.setLength(0);
    }

    private StringBuilder open(String name) {
        return out.append("[\"").append(name).append("\",").append(who);
    }

    private void close() {
        out.append("]\n");
    }

    private void seconds(long micros) {
        out.append(',').append(micros / 1_000_000).append('.');
        long rest = micros % 1_000_000;
        for (long digit = 100_000; digit > 0; digit /= 10) {
            out.append((char) ('0' + rest / digit % 10));
        }
    }

    private void text(String value) {
        out.append(",\"");
        for (int i = 0; i < value.length(); i++) {
            char c = value.charAt(i);
            if (c == '"' || c == '\\') {
                out.append('\\').append(c);
            } else if (c < ' ') {
                out.append(String.format("\\u%04x", (int) c));
            } else {
                out.append(c);
            }
        }
        out.append('"');
    }
}
