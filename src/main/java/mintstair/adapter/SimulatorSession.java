package mintstair.adapter;

import static mintstair.adapter.WireException.require;

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
import mintstair.decision.AttemptOutcome;
import mintstair.decision.AttemptResult;
import mintstair.decision.EndpointEntry;
import mintstair.decision.EndpointState;
import mintstair.decision.EndpointUpdateType;
import mintstair.decision.Positions;
import mintstair.decision.ReadWriteSplitter;
import mintstair.decision.ReplicationStatus;
import mintstair.decision.Router;
import mintstair.decision.RoutingRequest;
import mintstair.request.ReplicationRole;

/**
 * One run of the simulator: reads batches of events, hands each event to its instance of the decision module, and
 * writes one reply for each batch. Used by one thread.
 */
final class SimulatorSession {
    /** How many endpoint lists the simulator may keep here, to name them by their slot. */
    private static final int LIST_SLOTS = 16;

    private static final int MICROS_PER_MILLI = 1_000;
    /** The depth of the arrays around a row of a list: the message and the list. */
    private static final int ROW_PARENTS = 2;

    private static final int NO_TENANT = -1;
    /** The flag of a request that is a client's own retry. */
    private static final int RETRY_FLAG = 2;
    /** A host's mark: the lower two bits are its role, the others its position in milliseconds, 0 for unknown. */
    private static final int MARK_ROLE_MASK = 3;

    private static final int MARK_POSITION_SHIFT = 2;
    private static final int MARK_PRIMARY = 1;
    private static final int MARK_REPLICA = 2;

    /** One instance and the settings that translate for it; instances share nothing. */
    private record Instance(Router router, InstanceSettings settings) {}

    private final MessageReader in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<EndpointEntry>> lists = new ArrayList<>();
    /** The time of the current batch. */
    private long nowMicros;

    SimulatorSession(InputStream in, OutputStream out) throws IOException {
        this.in = new MessageReader(in);
        this.out = new BufferedOutputStream(out);
        for (int i = 0; i < LIST_SLOTS; i++) {
            lists.add(null);
        }
    }

    /**
     * Runs until the input ends.
     *
     * @throws WireException where the input does not follow the wire
     */
    void run() throws IOException {
        boolean inBatch = false;
        while (in.beginMessage()) {
            String name = in.textOrNull();
            require(name != null, "a message must begin with its name");
            if (name.equals("turn")) {
                require(!inBatch, "a batch began inside a batch");
                inBatch = true;
                nowMicros = in.micros();
            } else {
                require(inBatch, "message " + name + " outside a batch");
                if (name.equals("end")) {
                    inBatch = false;
                } else {
                    onEvent(name);
                }
            }
            in.finishArray(0);
            if (!inBatch) {
                ActionWriter.flush(reply, out);
            }
        }
        require(!inBatch, "the input ended inside a batch");
    }

    private void onEvent(String name) throws IOException {
        switch (name) {
            case "pool" -> readList();
            case "provision" -> startInstance();
            case "announce" -> updateEndpoints();
            case "order" -> submitRequest();
            case "result" -> endAttempt();
            case "hangup" -> instance().router.onClientDisconnected(nowMicros, in.whole());
            case "wakeup" -> instance().router.onTimer(nowMicros, in.text());
            case "pingResult" -> endHealthCheck();
            case "memo" -> instance().router.onPeerMessage(nowMicros, (int) in.whole(), in.text());
            case "headReceived" -> instance();
            case "crashNow" -> instances.remove((int) in.whole());
            default -> throw new WireException("unknown event " + name);
        }
    }

    private void readList() throws IOException {
        int slot = (int) in.whole();
        require(slot >= 0 && slot < LIST_SLOTS, "no such list number: " + slot);
        require(in.beginArray(), "a pool needs its rows");
        List<EndpointEntry> entries = new ArrayList<>();
        while (in.beginArray()) {
            entries.add(readEntry());
            in.finishArray(ROW_PARENTS);
        }
        lists.set(slot, entries);
    }

    private EndpointEntry readEntry() throws IOException {
        String host = in.text();
        boolean primary = in.number(0) == 1;
        String zone = in.textOrNull();
        in.skipTextOrNumber();
        int group = (int) in.number(0);
        EndpointState state = endpointState(in.text());
        double capacity = in.number(1);
        return new EndpointEntry(host, primary, zone, group, state, capacity, in.microsOrZero());
    }

    private void startInstance() throws IOException {
        int number = (int) in.whole();
        long seed = in.whole();
        if (!(in.value() instanceof Map<?, ?> json)) {
            throw new WireException("provision needs its env");
        }
        InstanceSettings settings = settings(json);
        ActionWriter actions = new ActionWriter(reply, number);
        Router router = new ReadWriteSplitter(nowMicros, seed, settings.settings, actions);
        instances.put(number, new Instance(router, settings));
    }

    private static InstanceSettings settings(Map<?, ?> json) {
        try {
            return new InstanceSettings(json);
        } catch (ConfigException e) {
            throw new WireException(e.getMessage(), e);
        }
    }

    private void updateEndpoints() throws IOException {
        Instance target = instance();
        String form = in.text();
        in.skipNumber();
        int slot = (int) in.number(0);
        EndpointUpdateType type = updateType(form);
        target.router.onEndpoints(nowMicros, type, type == EndpointUpdateType.FAILED ? List.of() : list(slot));
    }

    private List<EndpointEntry> list(int slot) {
        require(slot >= 0 && slot < LIST_SLOTS && lists.get(slot) != null, "no such list: " + slot);
        return lists.get(slot);
    }

    private void submitRequest() throws IOException {
        Instance target = instance();
        long id = in.whole();
        long flags = in.whole();
        String className = in.text();
        Integer requestClass = target.settings.classes.get(className);
        require(requestClass != null, "unknown class " + className);
        String session = in.textOrNull();
        int group = (int) in.number(0);
        in.skipNumber();
        String tenantName = in.textOrNull();
        long timeoutMicros = in.microsOrZero();
        double tokenMillis = in.number(0);
        Integer tenant = tenantName == null ? null : target.settings.tenants.get(tenantName);
        target.router.onRequest(
                nowMicros,
                new RoutingRequest(
                        id,
                        requestClass,
                        group,
                        session,
                        tenant == null ? NO_TENANT : tenant,
                        (flags & RETRY_FLAG) != 0,
                        timeoutMicros,
                        tokenMillis > 0 ? Math.round(tokenMillis * MICROS_PER_MILLI) : Positions.UNKNOWN));
    }

    private void endAttempt() throws IOException {
        Instance target = instance();
        long id = in.whole();
        int attempt = (int) in.whole();
        String host = in.text();
        AttemptOutcome outcome = outcome(in.text());
        long latencyMicros = in.microsOrZero();
        boolean finished = in.nextToken() == JsonToken.VALUE_TRUE;
        long mark = (long) in.number(0);
        target.router.onAttemptEnded(
                nowMicros,
                new AttemptResult(
                        id,
                        attempt,
                        host,
                        outcome,
                        latencyMicros,
                        finished,
                        roleOfMark(mark),
                        positionOfMark(mark, target.settings)));
    }

    private static ReplicationRole roleOfMark(long mark) {
        return switch ((int) (mark & MARK_ROLE_MASK)) {
            case MARK_PRIMARY -> ReplicationRole.PRIMARY;
            case MARK_REPLICA -> ReplicationRole.REPLICA;
            default -> ReplicationRole.UNKNOWN;
        };
    }

    private static long positionOfMark(long mark, InstanceSettings settings) {
        long millis = mark >> MARK_POSITION_SHIFT;
        return millis == 0 ? Positions.UNKNOWN : settings.positionZeroMicros + millis * MICROS_PER_MILLI;
    }

    private void endHealthCheck() throws IOException {
        Instance target = instance();
        AttemptOutcome outcome = outcome(in.text());
        long latencyMicros = in.microsOrZero();
        String host = in.text();
        target.router.onHealthCheckEnded(nowMicros, host, outcome, latencyMicros, readReport(target.settings));
    }

    /** A host's report: values in the order of the fields that the settings name, or null. */
    private ReplicationStatus readReport(InstanceSettings settings) throws IOException {
        JsonToken token = in.nextToken();
        if (token != JsonToken.START_ARRAY) {
            require(token == JsonToken.VALUE_NULL, "a report must be an array or null");
            return null;
        }
        long position = Positions.UNKNOWN;
        ReplicationRole role = ReplicationRole.UNKNOWN;
        int index = 0;
        for (token = in.nextToken(); token != JsonToken.END_ARRAY && token != null; token = in.nextToken()) {
            Object field = index < settings.reportFields.size() ? settings.reportFields.get(index) : "";
            index++;
            if (token.isNumeric() && field.equals("x0")) {
                position = settings.positionZeroMicros + InstanceSettings.toMicros(in.currentNumber());
            } else if (token.isNumeric() && field.equals("x1")) {
                role = in.currentNumber() == 1 ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA;
            }
        }
        return new ReplicationStatus(position, role);
    }

    private static EndpointUpdateType updateType(String word) {
        return switch (word) {
            case "patch" -> EndpointUpdateType.DELTA;
            case "whole" -> EndpointUpdateType.SNAPSHOT;
            case "stale_copy" -> EndpointUpdateType.CACHED;
            case "broken" -> EndpointUpdateType.FAILED;
            default -> throw new WireException("unknown form of list " + word);
        };
    }

    private static AttemptOutcome outcome(String word) {
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

    private static EndpointState endpointState(String word) {
        return switch (word) {
            case "ready" -> EndpointState.SERVING;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.REMOVED;
            default -> throw new WireException("unknown phase " + word);
        };
    }

    private Instance instance() throws IOException {
        int number = (int) in.whole();
        Instance found = instances.get(number);
        require(found != null, "event for unknown instance " + number);
        return found;
    }
}
