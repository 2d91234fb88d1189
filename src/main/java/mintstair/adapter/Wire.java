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
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.decision.AttemptOutcome;
import mintstair.decision.AttemptResult;
import mintstair.decision.EndpointEntry;
import mintstair.decision.EndpointState;
import mintstair.decision.EndpointUpdateType;
import mintstair.decision.Positions;
import mintstair.decision.ReadWriteSplitter;
import mintstair.decision.ReplicationStatus;
import mintstair.decision.Router;
import mintstair.decision.RouterActions;
import mintstair.decision.RoutingRequest;
import mintstair.request.ReplicationRole;

/** Reads batches of events, hands each to its instance, and writes one reply a batch. */
final class Wire {
    private static final int SLOTS = 16;

    /** One router: its module and what translates for it; nothing is shared between two of them. */
    private record Instance(Router router, InstanceSettings env) {}

    private final JsonParser in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<EndpointEntry>> lists = new ArrayList<>();
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
                ActionWriter.flush(reply, out);
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
            case "hangup" -> instance().router.onClientDisconnected(now, whole());
            case "wakeup" -> instance().router.onTimer(now, text());
            case "pingResult" -> pingResult();
            case "memo" -> instance().router.onPeerMessage(now, (int) whole(), text());
            case "headReceived" -> instance();
            case "crashNow" -> instances.remove((int) whole());
            default -> throw new WireException("unknown event " + name);
        }
    }

    private void pool() throws IOException {
        int slot = (int) whole();
        require(slot >= 0 && slot < SLOTS, "no such list number: " + slot);
        require(in.nextToken() == JsonToken.START_ARRAY, "a pool needs its rows");
        List<EndpointEntry> rows = new ArrayList<>();
        while (in.nextToken() == JsonToken.START_ARRAY) {
            String host = text();
            boolean primary = number(0) == 1;
            String zone = string();
            string();
            int group = (int) number(0);
            EndpointState state = state(text());
            double size = number(1);
            rows.add(new EndpointEntry(host, primary, zone, group, state, size, InstanceSettings.toMicros(number(0))));
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
        InstanceSettings env;
        try {
            env = new InstanceSettings(map);
        } catch (ConfigException e) {
            throw new WireException(e.getMessage());
        }
        RouterActions actions = new ActionWriter(reply, who);
        instances.put(who, new Instance(new ReadWriteSplitter(now, seed, env.settings, actions), env));
        return true;
    }

    private void announce() throws IOException {
        Instance to = instance();
        String form = text();
        number(0);
        int slot = (int) number(0);
        EndpointUpdateType kind = switch (form) {
            case "patch" -> EndpointUpdateType.DELTA;
            case "whole" -> EndpointUpdateType.SNAPSHOT;
            case "stale_copy" -> EndpointUpdateType.CACHED;
            case "broken" -> EndpointUpdateType.FAILED;
            default -> throw new WireException("unknown form of list " + form);
        };
        List<EndpointEntry> rows = List.of();
        if (kind != EndpointUpdateType.FAILED) {
            require(slot >= 0 && slot < SLOTS && lists.get(slot) != null, "no such list: " + slot);
            rows = lists.get(slot);
        }
        to.router.onEndpoints(now, kind, rows);
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
        long patience = InstanceSettings.toMicros(number(0));
        double tokenMs = number(0);
        Integer tenantIndex = tenant == null ? null : to.env.tenants.get(tenant);
        to.router.onRequest(
                now,
                new RoutingRequest(
                        id,
                        classIndex,
                        group,
                        session,
                        tenantIndex == null ? -1 : tenantIndex,
                        (bits & 2) != 0,
                        patience,
                        tokenMs > 0 ? Math.round(tokenMs * 1e3) : Positions.UNKNOWN));
    }

    private void result() throws IOException {
        Instance to = instance();
        long id = whole();
        int attempt = (int) whole();
        String host = text();
        AttemptOutcome outcome = ending(text());
        long latency = InstanceSettings.toMicros(number(0));
        boolean finished = in.nextToken() == JsonToken.VALUE_TRUE;
        long mark = (long) number(0);
        ReplicationRole role = (mark & 3) == 1
                ? ReplicationRole.PRIMARY
                : (mark & 3) == 2 ? ReplicationRole.REPLICA : ReplicationRole.UNKNOWN;
        long position = mark >> 2 == 0 ? Positions.UNKNOWN : to.env.positionZeroMicros + (mark >> 2) * 1000;
        to.router.onAttemptEnded(now, new AttemptResult(id, attempt, host, outcome, latency, finished, role, position));
    }

    private void pingResult() throws IOException {
        Instance to = instance();
        AttemptOutcome outcome = ending(text());
        long latency = InstanceSettings.toMicros(number(0));
        String host = text();
        to.router.onHealthCheckEnded(now, host, outcome, latency, report(to.env));
    }

    private ReplicationStatus report(InstanceSettings env) throws IOException {
        JsonToken t = in.nextToken();
        if (t != JsonToken.START_ARRAY) {
            require(t == JsonToken.VALUE_NULL, "a report must be an array or null");
            return null;
        }
        long position = Positions.UNKNOWN;
        ReplicationRole role = ReplicationRole.UNKNOWN;
        int i = 0;
        for (t = in.nextToken(); t != JsonToken.END_ARRAY && t != null; t = in.nextToken(), i++) {
            Object field = i < env.reportFields.size() ? env.reportFields.get(i) : "";
            if (t.isNumeric() && field.equals("x0")) {
                position = env.positionZeroMicros + InstanceSettings.toMicros(in.getDoubleValue());
            } else if (t.isNumeric() && field.equals("x1")) {
                role = in.getDoubleValue() == 1 ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
            }
        }
        return new ReplicationStatus(position, role);
    }

    private static AttemptOutcome ending(String word) {
        return switch (word) {
            case "pass" -> AttemptOutcome.SUCCESS;
            case "fault" -> AttemptOutcome.ERROR;
            case "no_room" -> AttemptOutcome.OVERLOADED;
            case "too_slow" -> AttemptOutcome.TIMEOUT;
            case "no_route" -> AttemptOutcome.UNREACHABLE;
            case "cut" -> AttemptOutcome.CONNECTION_RESET;
            case "undone" -> AttemptOutcome.CANCELLED;
            case "stale_send" -> AttemptOutcome.NOT_SENT;
            case "none_here" -> AttemptOutcome.MISDIRECTED;
            default -> throw new WireException("unknown ending " + word);
        };
    }

    private static EndpointState state(String word) {
        return switch (word) {
            case "ready" -> EndpointState.SERVING;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.REMOVED;
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
        return InstanceSettings.toMicros(in.getDoubleValue());
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
