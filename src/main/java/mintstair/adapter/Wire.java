package mintstair.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import mintstair.config.ConfigException;
import mintstair.config.Env;
import mintstair.config.Json;
import mintstair.decision.ReadWriteSplitter;
import mintstair.decision.SplitterApi;
import mintstair.decision.SplitterApi.Ending;
import mintstair.decision.SplitterApi.HostEntry;
import mintstair.decision.SplitterApi.HostState;
import mintstair.decision.SplitterApi.ListKind;
import mintstair.decision.SplitterApi.Outcome;
import mintstair.decision.SplitterApi.Report;
import mintstair.decision.SplitterApi.Request;
import mintstair.decision.SplitterApi.Role;

/** Reads batches of events, hands each to its instance, and writes one reply a batch. */
final class Wire {
    private static final int SLOTS = 16;

    /** One router: its module and what translates for it; nothing is shared between two of them. */
    private record Instance(SplitterApi.Router router, Env env) {}

    private final JsonParser in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<HostEntry>> lists = new ArrayList<>();
    private long now;

    Wire(InputStream in, OutputStream out) throws IOException {
        this.in = new JsonFactory().createParser(in);
        this.out = new BufferedOutputStream(out);
        for (int i = 0; i < SLOTS; i++) {
            lists.add(null);
        }
    }

    void run() throws IOException {
        boolean inBatch = false;
        for (JsonToken t = in.nextToken(); t != null; t = in.nextToken()) {
            require(t == JsonToken.START_ARRAY, "a message must be an array");
            String name = string();
            require(name != null, "a message must begin with its name");
            if (name.equals("turn")) {
                require(!inBatch, "a batch began inside a batch");
                inBatch = true;
                now = time();
            } else {
                require(inBatch, "message " + name + " outside a batch");
                if (name.equals("end")) {
                    inBatch = false;
                } else {
                    event(name);
                }
            }
            finishArray(0);
            if (!inBatch) {
                Reply.flush(reply, out);
            }
        }
        require(!inBatch, "the input ended inside a batch");
    }

    private void event(String name) throws IOException {
        switch (name) {
            case "pool" -> pool();
            case "provision" -> provision();
            case "announce" -> announce();
            case "order" -> order();
            case "result" -> result();
            case "hangup" -> instance().router.onHangUp(now, whole());
            case "wakeup" -> instance().router.onTimer(now, text());
            case "pingResult" -> pingResult();
            case "memo" -> instance().router.onPeer(now, (int) whole(), text());
            case "headReceived" -> instance();
            case "crashNow" -> instances.remove((int) whole());
            default -> throw new WireException("unknown event " + name);
        }
    }

    private void pool() throws IOException {
        int slot = (int) whole();
        require(slot >= 0 && slot < SLOTS, "no such list number: " + slot);
        require(in.nextToken() == JsonToken.START_ARRAY, "a pool needs its rows");
        List<HostEntry> rows = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_ARRAY) {
            String host = text();
            boolean primary = number(0) == 1;
            String zone = string();
            string();
            int group = (int) number(0);
            HostState state = state(text());
            double size = number(1);
            rows.add(new HostEntry(host, primary, zone, group, state, size, Env.toMicros(number(0))));
            finishArray(2);
        }
        lists.set(slot, rows);
    }

    private void provision() throws IOException {
        int who = (int) whole();
        long seed = whole();
        in.nextToken();
        require(Json.value(in) instanceof Map<?, ?> map && putNew(who, seed, map), "provision needs its env");
    }

    private boolean putNew(int who, long seed, Map<?, ?> map) {
        Env env;
        try {
            env = new Env(map);
        } catch (ConfigException e) {
            throw new WireException(e.getMessage());
        }
        SplitterApi.Actions actions = new Reply(reply, who);
        instances.put(who, new Instance(new ReadWriteSplitter(now, seed, env.settings, actions), env));
        return true;
    }

    private void announce() throws IOException {
        Instance to = instance();
        String form = text();
        number(0);
        int slot = (int) number(0);
        ListKind kind = switch (form) {
            case "patch" -> ListKind.CHANGES;
            case "whole" -> ListKind.WHOLE;
            case "stale_copy" -> ListKind.OLD_COPY;
            case "broken" -> ListKind.FAILED;
            default -> throw new WireException("unknown form of list " + form);
        };
        List<HostEntry> rows = List.of();
        if (kind != ListKind.FAILED) {
            require(slot >= 0 && slot < SLOTS && lists.get(slot) != null, "no such list: " + slot);
            rows = lists.get(slot);
        }
        to.router.onList(now, kind, rows);
    }

    private void order() throws IOException {
        Instance to = instance();
        long id = whole();
        long bits = whole();
        String grade = text();
        Integer classIndex = to.env.classes.get(grade);
        require(classIndex != null, "unknown class " + grade);
        String session = string();
        int group = (int) number(0);
        number(0);
        String tenant = string();
        long patience = Env.toMicros(number(0));
        double tokenMs = number(0);
        Integer tenantIndex = tenant == null ? null : to.env.tenants.get(tenant);
        to.router.onRequest(
                now,
                new Request(
                        id,
                        classIndex,
                        group,
                        session,
                        tenantIndex == null ? -1 : tenantIndex,
                        (bits & 2) != 0,
                        patience,
                        tokenMs > 0 ? Math.round(tokenMs * 1e3) : SplitterApi.UNKNOWN));
    }

    private void result() throws IOException {
        Instance to = instance();
        long id = whole();
        int attempt = (int) whole();
        String host = text();
        Ending ending = ending(text());
        long latency = Env.toMicros(number(0));
        boolean finished = in.nextToken() == JsonToken.VALUE_TRUE;
        long mark = (long) number(0);
        Role role = (mark & 3) == 1 ? Role.PRIMARY : (mark & 3) == 2 ? Role.REPLICA : Role.UNTOLD;
        long position = mark >> 2 == 0 ? SplitterApi.UNKNOWN : to.env.positionZero + (mark >> 2) * 1000;
        to.router.onOutcome(now, new Outcome(id, attempt, host, ending, latency, finished, role, position));
    }

    private void pingResult() throws IOException {
        Instance to = instance();
        Ending ending = ending(text());
        long latency = Env.toMicros(number(0));
        String host = text();
        to.router.onProbed(now, host, ending, latency, report(to.env));
    }

    private Report report(Env env) throws IOException {
        JsonToken t = in.nextToken();
        if (t != JsonToken.START_ARRAY) {
            require(t == JsonToken.VALUE_NULL, "a report must be an array or null");
            return null;
        }
        long position = SplitterApi.UNKNOWN;
        Role role = Role.UNTOLD;
        int i = 0;
        for (t = in.nextToken(); t != JsonToken.END_ARRAY && t != null; t = in.nextToken(), i++) {
            Object field = i < env.reportFields.size() ? env.reportFields.get(i) : "";
            if (t.isNumeric() && field.equals("x0")) {
                position = env.positionZero + Env.toMicros(in.getDoubleValue());
            } else if (t.isNumeric() && field.equals("x1")) {
                role = in.getDoubleValue() == 1 ? Role.PRIMARY : Role.REPLICA;
            }
        }
        return new Report(position, role);
    }

    private static Ending ending(String word) {
        return switch (word) {
            case "pass" -> Ending.OK;
            case "fault" -> Ending.ERROR;
            case "no_room" -> Ending.FULL;
            case "too_slow" -> Ending.TIMEOUT;
            case "no_route" -> Ending.NO_ROUTE;
            case "cut" -> Ending.RESET;
            case "undone" -> Ending.CANCELLED;
            case "stale_send" -> Ending.MOOT;
            case "none_here" -> Ending.MISS;
            default -> throw new WireException("unknown ending " + word);
        };
    }

    private static HostState state(String word) {
        return switch (word) {
            case "ready" -> HostState.READY;
            case "draining" -> HostState.DRAINING;
            case "gone" -> HostState.GONE;
            default -> throw new WireException("unknown phase " + word);
        };
    }

    private Instance instance() throws IOException {
        int who = (int) whole();
        Instance found = instances.get(who);
        require(found != null, "event for unknown instance " + who);
        return found;
    }

    private long time() throws IOException {
        require(in.nextToken().isNumeric(), "a time must be a number");
        return Env.toMicros(in.getDoubleValue());
    }

    private long whole() throws IOException {
        JsonToken t = in.nextToken();
        require(t == JsonToken.VALUE_NUMBER_INT, "expected a whole number");
        return in.getNumberType() == JsonParser.NumberType.BIG_INTEGER
                ? in.getBigIntegerValue().longValue()
                : in.getLongValue();
    }

    /** The next value as a number; null and an absent one read as {@code otherwise}. */
    private double number(double otherwise) throws IOException {
        if (in.currentToken() == JsonToken.END_ARRAY) {
            return otherwise;
        }
        JsonToken t = in.nextToken();
        if (t == JsonToken.VALUE_NULL || t == JsonToken.END_ARRAY) {
            return otherwise;
        }
        require(t != null && t.isNumeric(), "expected a number");
        return in.getDoubleValue();
    }

    private String string() throws IOException {
        JsonToken t = in.nextToken();
        if (t == JsonToken.VALUE_NULL || (t != null && t.isNumeric())) {
            return null;
        }
        require(t == JsonToken.VALUE_STRING, "expected a text");
        return in.getText();
    }

    private String text() throws IOException {
        String found = string();
        require(found != null, "expected a text");
        return found;
    }

    /** Skips what later versions may add to a message or row, until only {@code depth} arrays are open. */
    private void finishArray(int depth) throws IOException {
        while (in.getParsingContext().getNestingDepth() > depth) {
            require(in.nextToken() != null, "the input ended inside a message");
        }
    }

    private static void require(boolean holds, String otherwise) {
        if (!holds) {
            throw new WireException(otherwise);
        }
    }
}
