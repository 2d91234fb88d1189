package mintstair.adapter;

import static mintstair.adapter.SimulatorProtocolException.require;

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
 * Serves one run of the simulator. It reads batches of events, passes each event to the instance of the decision module
 * that it is addressed to, and writes one reply with the resulting actions for each batch. Not thread-safe.
 */
final class SimulatorSession {
    /** The number of endpoint lists that the simulator can store, each in a numbered slot. */
    private static final int LIST_SLOTS = 16;

    private static final int MICROS_PER_MILLI = 1_000;
    /** The number of arrays that enclose a row of an endpoint list: the message and the list. */
    private static final int ROW_DEPTH = 2;

    private static final int NO_TENANT = -1;
    /** The bit of a request's flags that marks it as a retry by the client. */
    private static final int CLIENT_RETRY_FLAG = 2;
    /**
     * The role bits of a replication mark, with which a host reports its state in a reply. The other bits are its
     * replication position in milliseconds, or 0 if that is unknown.
     */
    private static final int MARK_ROLE_MASK = 3;

    private static final int MARK_POSITION_SHIFT = 2;
    private static final int MARK_PRIMARY = 1;
    private static final int MARK_REPLICA = 2;

    /** An instance of the decision module, and the settings that are needed to decode the messages to it. */
    private record Instance(Router router, InstanceSettings settings) {}

    private final MessageReader in;
    private final OutputStream out;
    private final StringBuilder reply = new StringBuilder();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final List<List<EndpointEntry>> endpointLists = new ArrayList<>();
    /** The simulated time of the current batch. */
    private long nowMicros;

    SimulatorSession(InputStream in, OutputStream out) throws IOException {
        this.in = new MessageReader(in);
        this.out = new BufferedOutputStream(out);
        for (int i = 0; i < LIST_SLOTS; i++) {
            endpointLists.add(null);
        }
    }

    /**
     * Processes messages until the input ends.
     *
     * @throws SimulatorProtocolException if the input violates the protocol
     */
    void run() throws IOException {
        boolean inBatch = false;
        while (in.beginMessage()) {
            String name = in.readStringOrNull();
            require(name != null, "the first value of a message must be its name");
            if (name.equals("turn")) {
                require(!inBatch, "batch started before the previous batch ended");
                inBatch = true;
                nowMicros = in.readMicros();
            } else {
                require(inBatch, "message " + name + " received outside a batch");
                if (name.equals("end")) {
                    inBatch = false;
                } else {
                    handleEvent(name);
                }
            }
            in.finishArray(0);
            if (!inBatch) {
                ActionWriter.flush(reply, out);
            }
        }
        require(!inBatch, "unexpected end of input inside a batch");
    }

    private void handleEvent(String name) throws IOException {
        switch (name) {
            case "pool" -> readEndpointList();
            case "provision" -> createInstance();
            case "announce" -> updateEndpoints();
            case "order" -> routeRequest();
            case "result" -> handleAttemptEnd();
            case "hangup" -> readInstance().router.onClientDisconnected(nowMicros, in.readInteger());
            case "wakeup" -> readInstance().router.onTimer(nowMicros, in.readString());
            case "pingResult" -> handleHealthCheckEnd();
            case "memo" -> readInstance().router.onPeerMessage(nowMicros, (int) in.readInteger(), in.readString());
            case "headReceived" -> readInstance();
            case "crashNow" -> instances.remove((int) in.readInteger());
            default -> throw new SimulatorProtocolException("unknown event " + name);
        }
    }

    private void readEndpointList() throws IOException {
        int slot = (int) in.readInteger();
        require(
                slot >= 0 && slot < LIST_SLOTS,
                "endpoint list slot out of range 0 to " + (LIST_SLOTS - 1) + ": " + slot);
        require(in.beginArray(), "message pool has no array of endpoints");
        List<EndpointEntry> entries = new ArrayList<>();
        while (in.beginArray()) {
            entries.add(readEndpoint());
            in.finishArray(ROW_DEPTH);
        }
        endpointLists.set(slot, entries);
    }

    private EndpointEntry readEndpoint() throws IOException {
        String host = in.readString();
        boolean primary = in.readNumber(0) == 1;
        String zone = in.readStringOrNull();
        in.skipStringOrNumber();
        int group = (int) in.readNumber(0);
        EndpointState state = endpointState(in.readString());
        double capacity = in.readNumber(1);
        return new EndpointEntry(host, primary, zone, group, state, capacity, in.readMicrosOrZero());
    }

    private void createInstance() throws IOException {
        int number = (int) in.readInteger();
        long seed = in.readInteger();
        if (!(in.readValue() instanceof Map<?, ?> json)) {
            throw new SimulatorProtocolException("message provision has no settings object");
        }
        InstanceSettings settings = settings(json);
        ActionWriter actions = new ActionWriter(reply, number);
        Router router = new ReadWriteSplitter(nowMicros, seed, settings.routerSettings, actions);
        instances.put(number, new Instance(router, settings));
    }

    private static InstanceSettings settings(Map<?, ?> json) {
        try {
            return new InstanceSettings(json);
        } catch (ConfigException e) {
            throw new SimulatorProtocolException(e.getMessage(), e);
        }
    }

    private void updateEndpoints() throws IOException {
        Instance target = readInstance();
        String word = in.readString();
        in.skipNumber();
        int slot = (int) in.readNumber(0);
        EndpointUpdateType type = updateType(word);
        target.router.onEndpoints(nowMicros, type, type == EndpointUpdateType.FAILED ? List.of() : endpointList(slot));
    }

    private List<EndpointEntry> endpointList(int slot) {
        require(slot >= 0 && slot < LIST_SLOTS && endpointLists.get(slot) != null, "no endpoint list in slot " + slot);
        return endpointLists.get(slot);
    }

    private void routeRequest() throws IOException {
        Instance target = readInstance();
        long id = in.readInteger();
        long flags = in.readInteger();
        String className = in.readString();
        Integer requestClass = target.settings.classIndexes.get(className);
        require(requestClass != null, "unknown request class " + className);
        String session = in.readStringOrNull();
        int group = (int) in.readNumber(0);
        in.skipNumber();
        String tenantName = in.readStringOrNull();
        long timeoutMicros = in.readMicrosOrZero();
        double tokenMillis = in.readNumber(0);
        Integer tenant = tenantName == null ? null : target.settings.tenantIndexes.get(tenantName);
        target.router.onRequest(
                nowMicros,
                new RoutingRequest(
                        id,
                        requestClass,
                        group,
                        session,
                        tenant == null ? NO_TENANT : tenant,
                        (flags & CLIENT_RETRY_FLAG) != 0,
                        timeoutMicros,
                        tokenMillis > 0 ? Math.round(tokenMillis * MICROS_PER_MILLI) : Positions.UNKNOWN));
    }

    private void handleAttemptEnd() throws IOException {
        Instance target = readInstance();
        long id = in.readInteger();
        int attempt = (int) in.readInteger();
        String host = in.readString();
        AttemptOutcome outcome = outcome(in.readString());
        long latencyMicros = in.readMicrosOrZero();
        boolean requestOver = in.nextToken() == JsonToken.VALUE_TRUE;
        long mark = (long) in.readNumber(0);
        // Exact to the unit of the mark in either use: the simulator rounds a position down and a commit time up.
        long position = positionOfMark(mark, target.settings);
        target.router.onAttemptEnded(
                nowMicros,
                new AttemptResult(
                        id, attempt, host, outcome, latencyMicros, requestOver, roleOfMark(mark), position, position));
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

    private void handleHealthCheckEnd() throws IOException {
        Instance target = readInstance();
        AttemptOutcome outcome = outcome(in.readString());
        long latencyMicros = in.readMicrosOrZero();
        String host = in.readString();
        target.router.onHealthCheckEnded(nowMicros, host, outcome, latencyMicros, readReport(target.settings));
    }

    /**
     * Reads a host report, which is null or an array of the fields that the settings name, in that order. Field
     * {@code x0} is the replication position in seconds, and {@code x1} is 1 for a primary. Returns null for null.
     */
    private ReplicationStatus readReport(InstanceSettings settings) throws IOException {
        JsonToken token = in.nextToken();
        if (token != JsonToken.START_ARRAY) {
            require(token == JsonToken.VALUE_NULL, "a host report must be an array or null");
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
            default -> throw new SimulatorProtocolException("unknown type of endpoint update " + word);
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
            default -> throw new SimulatorProtocolException("unknown attempt outcome " + word);
        };
    }

    private static EndpointState endpointState(String word) {
        return switch (word) {
            case "ready" -> EndpointState.SERVING;
            case "draining" -> EndpointState.DRAINING;
            case "gone" -> EndpointState.REMOVED;
            default -> throw new SimulatorProtocolException("unknown endpoint state " + word);
        };
    }

    private Instance readInstance() throws IOException {
        int number = (int) in.readInteger();
        Instance found = instances.get(number);
        require(found != null, "event for unknown instance " + number);
        return found;
    }
}
