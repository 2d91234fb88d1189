package mintstair.front;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Pattern;
import mintstair.proxy.Dispatcher;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import mintstair.request.Statement;
import mintstair.wire.ProtocolException;

/** What every front asks of a request before it is taken in, whatever its protocol; none is passed on else. */
public final class RequestRules {
    private static final int LONGEST_ID = 128;
    private static final Pattern NUMBER = Pattern.compile("\\d{1,15}");
    private final Dispatcher dispatcher;

    public RequestRules(Dispatcher dispatcher) {
        this.dispatcher = dispatcher;
    }

    /** Reads the names and values of a comment: {@code id=9b1f,c=basket,cluster=2}. */
    public static Map<String, String> comment(String text) {
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
     * The request that the values describe; throws {@link ProtocolException} where they describe none.
     *
     * @param patience how long the client waits, in milliseconds, or null for its class's deadline
     * @param writes whether the statement changes data, for which a class of reads would resend it
     */
    public ProxyRequest request(
            Map<String, String> values, String patience, boolean writes, String session, Statement statement) {
        String id = values.getOrDefault("id", "");
        String requestClass = values.getOrDefault("c", "");
        if (id.isEmpty() || requestClass.isEmpty()) {
            throw new ProtocolException("the comment needs id and c");
        }
        if (id.length() > LONGEST_ID) {
            throw new ProtocolException("the id is too long");
        }
        if (dispatcher.isOpen(id)) {
            // It belongs to its first owner; hosts could not tell the two apart.
            throw new ProtocolException("request " + id + " is open already");
        }
        if (!dispatcher.classes().knowsClass(requestClass)) {
            throw new ProtocolException("unknown class " + requestClass);
        }
        if (writes && !dispatcher.classes().isWrite(requestClass)) {
            throw new ProtocolException("class " + requestClass + " is for reads");
        }
        long cluster = number("cluster", values.get("cluster"));
        if (cluster > Integer.MAX_VALUE || !dispatcher.knowsCluster((int) cluster)) {
            throw new ProtocolException("unknown cluster " + cluster);
        }
        // Nothing is held for longer than its class allows, whatever a client says that it would wait.
        long longest = dispatcher.classes().deadlineMicros(requestClass);
        long wait = patience == null ? longest : Math.min(longest, number("the deadline", patience) * 1000);
        if (wait < 1) {
            throw new ProtocolException("the deadline must be 1 ms or more");
        }
        String after = values.get("after");
        return new ProxyRequest(
                id,
                requestClass,
                (int) cluster,
                session,
                "1".equals(values.get("r")),
                dispatcher.mayHold(wait),
                after == null ? HostReport.UNKNOWN : number("after", after) * 1000,
                statement,
                null);
    }

    private static long number(String name, String value) {
        if (value == null || !NUMBER.matcher(value).matches()) {
            throw new ProtocolException("a number is needed for " + name);
        }
        return Long.parseLong(value);
    }
}
