package mintstair.front;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;
import mintstair.proxy.Dispatcher;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import mintstair.request.Statement;
import mintstair.wire.ProtocolException;

/** The rules that a request of any protocol must satisfy to be accepted. Runs on the event loop. */
public final class RequestRules {
    private static final int MAX_ID_LENGTH = 128;
    private static final int MICROS_PER_MILLI = 1000;
    private static final Pattern NUMBER = Pattern.compile("\\d{1,15}");

    private final Dispatcher dispatcher;

    /** Creates the rules; {@code dispatcher} provides the request classes and replica sets that requests may name. */
    public RequestRules(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /**
     * Parses the names and values of a comment, such as {@code id=9b1f,c=basket,cluster=2}.
     *
     * @throws ProtocolException if a part is not a name and a value, or a name is given twice
     */
    public static Map<String, String> parseComment(String text) {
        Map<String, String> values = new HashMap<>();
        for (String part : text.strip().split(",")) {
            int equals = part.indexOf('=');
            if (equals < 1) {
                throw new ProtocolException("the comment must hold names and values");
            }
            String name = part.substring(0, equals).strip();
            if (values.put(name, part.substring(equals + 1).strip()) != null) {
                throw new ProtocolException(name + " is given twice");
            }
        }
        return values;
    }

    /**
     * Creates the request that the values of a comment describe.
     *
     * @param timeoutMillis the client's timeout in milliseconds, as received; null for the deadline of the class
     * @param writes whether the statement changes data; it is then rejected in a class for reads, whose requests may be
     *     sent twice
     * @param session the session key; null for none
     * @throws ProtocolException if the values do not describe a request that can be accepted
     */
    public ProxyRequest createRequest(
            Map<String, String> values, String timeoutMillis, boolean writes, String session, Statement statement) {
        String id = values.getOrDefault("id", "");
        String requestClass = values.getOrDefault("c", "");
        if (id.isEmpty() || requestClass.isEmpty()) {
            throw new ProtocolException("the comment needs id and c");
        }
        checkId(id);
        checkClass(requestClass, writes);
        int cluster = parseCluster(values);
        long timeoutMicros = parseTimeoutMicros(requestClass, timeoutMillis);
        String after = values.get("after");
        return new ProxyRequest(
                id,
                requestClass,
                cluster,
                session,
                "1".equals(values.get("r")),
                dispatcher.effectiveTimeoutMicros(timeoutMicros),
                after == null ? HostReport.UNKNOWN_POSITION : parseNumber("after", after) * MICROS_PER_MILLI,
                statement,
                null);
    }

    private void checkId(String id) {
        if (id.length() > MAX_ID_LENGTH) {
            throw new ProtocolException("the id is too long");
        }
        if (dispatcher.hasOpenRequest(id)) {
            // Hosts identify a request by its id, and could not distinguish two open requests with the same id.
            throw new ProtocolException("request " + id + " is open already");
        }
    }

    private void checkClass(String requestClass, boolean writes) {
        if (!dispatcher.classes().contains(requestClass)) {
            throw new ProtocolException("unknown class " + requestClass);
        }
        if (writes && !dispatcher.classes().isWrite(requestClass)) {
            throw new ProtocolException("class " + requestClass + " is for reads");
        }
    }

    private int parseCluster(Map<String, String> values) {
        long cluster = parseNumber("cluster", values.get("cluster"));
        if (cluster > Integer.MAX_VALUE || !dispatcher.isClusterKnown((int) cluster)) {
            throw new ProtocolException("unknown cluster " + cluster);
        }
        return (int) cluster;
    }

    /** Returns the timeout of a request: the client's own, bounded by the deadline of its class. */
    private long parseTimeoutMicros(String requestClass, String timeoutMillis) {
        long limitMicros = dispatcher.classes().deadlineMicros(requestClass);
        if (timeoutMillis == null) {
            return checkTimeoutMicros(limitMicros);
        }
        return checkTimeoutMicros(Math.min(limitMicros, parseNumber("the deadline", timeoutMillis) * MICROS_PER_MILLI));
    }

    private static long checkTimeoutMicros(long micros) {
        if (micros < 1) {
            throw new ProtocolException("the deadline must be 1 ms or more");
        }
        return micros;
    }

    private static long parseNumber(String name, String value) {
        if (value == null || !NUMBER.matcher(value).matches()) {
            throw new ProtocolException("a number is needed for " + name);
        }
        return Long.parseLong(value);
    }
}
