package mintstair.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import mintstair.decision.AttemptLimits;
import mintstair.decision.Consistency;
import mintstair.decision.DeduplicationScope;
import mintstair.decision.Idempotency;
import mintstair.decision.ProtectionSettings;
import mintstair.decision.ReplicaReadCheck;
import mintstair.decision.RequestClass;
import mintstair.decision.RouterSettings;
import mintstair.decision.Tenant;

/** The start-up settings of one instance: from the wire's object to the module's records. */
public final class InstanceSettings {
    public final RouterSettings settings;
    public final Map<String, Integer> classes = new LinkedHashMap<>();
    /** How many proxies share the hosts and their list, this one included. */
    public final int proxies;
    /** Whether an agent on this machine is sent the list, rather than all proxies asking one service. */
    public final boolean listPushed;
    /** For so long a host may still be sent to once it is told to leave, in microseconds. */
    public final long drainGrace;

    public final Map<String, Integer> tenants = new LinkedHashMap<>();
    public final long positionZero;
    public final List<?> reportFields;
    /** After this long without use a host may close a connection, in microseconds. */
    public final long connectionIdle;
    /** A connection that is not up by then counts as never made, in microseconds. */
    public final long connectTimeout;

    public InstanceSettings(Map<?, ?> env) {
        Map<?, ?> info = map(env, "familyInfo");
        Map<?, ?> prices = map(env, "prices");
        List<RequestClass> kinds = new ArrayList<>();
        for (Object each : list(env, "classes")) {
            Map<?, ?> c = (Map<?, ?>) each;
            classes.put(string(c, "name", ""), kinds.size());
            kinds.add(requestClass(c, info, kinds.size()));
        }
        List<Tenant> shares = new ArrayList<>();
        for (Object each : list(env, "tenants")) {
            Map<?, ?> t = (Map<?, ?>) each;
            tenants.put(string(t, "name", ""), shares.size());
            shares.add(new Tenant(string(t, "name", ""), number(t, "quotaRps", 0)));
        }
        positionZero = micros(info, "positionZeroS", 0);
        Map<?, ?> report = map(env, "report");
        reportFields = list(report, "fields");
        connectionIdle = micros(map(env, "limits"), "connIdleS", 15);
        connectTimeout = micros(map(env, "limits"), "connectTimeoutS", 0.25);
        proxies = (int) number(env, "balancers", 1);
        listPushed = string(env, "discovery", "").equals("automatic");
        settings = new RouterSettings(
                proxies,
                (int) number(env, "position", 0),
                string(env, "locality", ""),
                kinds,
                shares,
                number(env, "overShareWorth", 1),
                string(info, "sessionMarks", "").equals("remembered"),
                check(string(info, "serverChecks", "none")),
                truth(info, "tellsPosition", false),
                string(info, "listRole", "none").equals("late"),
                string(env, "discovery", "").equals("subscribe"),
                truth(map(env, "clients"), "marksRetry", false),
                number(prices, "probe", 0),
                number(prices, "crossZone", 0),
                protection(map(env, "invariants")),
                limits(map(env, "limits")));
        drainGrace = settings.protection().drainGraceMicros();
    }

    /** The longest time, in microseconds, that a request of any class may wait. */
    public long longestDeadline() {
        return settings.classes().stream()
                .mapToLong(RequestClass::deadlineMicros)
                .max()
                .orElse(0);
    }

    private static RequestClass requestClass(Map<?, ?> c, Map<?, ?> info, int index) {
        Idempotency idempotency = switch (string(c, "repeat", "at_most_once")) {
            case "idempotent" -> Idempotency.IDEMPOTENT;
            case "deduplicated" -> Idempotency.IDEMPOTENCY_KEY;
            case "at_most_once" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new ConfigException("unknown repeat " + c.get("repeat"));
        };
        DeduplicationScope deduplicationScope = switch (string(c, "group", "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.GROUP;
            default -> throw new ConfigException("unknown group " + c.get("group"));
        };
        List<?> needs = list(info, "consistency");
        Consistency consistency = switch (index < needs.size() ? String.valueOf(needs.get(index)) : "any") {
            case "write" -> Consistency.WRITE;
            case "fresh" -> Consistency.STRONG;
            case "session" -> Consistency.SESSION;
            case "bounded" -> Consistency.BOUNDED_STALENESS;
            case "any" -> Consistency.EVENTUAL;
            default -> throw new ConfigException("unknown consistency " + needs.get(index));
        };
        List<?> bounds = list(info, "classBoundS");
        long bound = index < bounds.size() ? toMicros(((Number) bounds.get(index)).doubleValue()) : 0;
        return new RequestClass(
                string(c, "name", ""),
                consistency,
                idempotency,
                deduplicationScope,
                bound,
                micros(c, "sloS", 1),
                micros(c, "deadlineS", 1),
                micros(c, "windowS", 0),
                number(c, "worth", 1),
                number(c, "lateValue", 0));
    }

    private static ReplicaReadCheck check(String word) {
        return switch (word) {
            case "none" -> ReplicaReadCheck.NONE;
            case "refuse" -> ReplicaReadCheck.REJECT;
            case "wait" -> ReplicaReadCheck.WAIT;
            default -> throw new ConfigException("unknown serverChecks " + word);
        };
    }

    private static ProtectionSettings protection(Map<?, ?> rules) {
        Object gone = rules.get("goneIsAdvice");
        if (gone != null && !(gone instanceof Boolean)) {
            throw new ConfigException("goneIsAdvice must be true or false");
        }
        return new ProtectionSettings(
                micros(rules, "drainGraceS", 0),
                number(rules, "coldFrom", 1),
                micros(rules, "warmAfterS", 0),
                number(rules, "fallMultiple", 1),
                micros(rules, "fallS", 1),
                Boolean.TRUE.equals(gone));
    }

    private static AttemptLimits limits(Map<?, ?> limits) {
        return new AttemptLimits(
                (int) number(limits, "maxAttempts", 1),
                truth(limits, "cancelling", false),
                truth(limits, "probing", false),
                truth(limits, "peerMessages", false),
                truth(limits, "secondCopies", false),
                truth(limits, "retryAfter", false),
                micros(limits, "maxRetryAfterS", 0));
    }

    public static long toMicros(double seconds) {
        return Math.round(seconds * 1e6);
    }

    private static Map<?, ?> map(Map<?, ?> from, String key) {
        return from.get(key) instanceof Map<?, ?> m ? m : Map.of();
    }

    private static List<?> list(Map<?, ?> from, String key) {
        return from.get(key) instanceof List<?> l ? l : List.of();
    }

    private static double number(Map<?, ?> from, String key, double otherwise) {
        return from.get(key) instanceof Number n ? n.doubleValue() : otherwise;
    }

    private static long micros(Map<?, ?> from, String key, double otherwise) {
        return toMicros(number(from, key, otherwise));
    }

    private static boolean truth(Map<?, ?> from, String key, boolean otherwise) {
        return from.get(key) instanceof Boolean b ? b : otherwise;
    }

    private static String string(Map<?, ?> from, String key, String otherwise) {
        return from.get(key) instanceof String s ? s : otherwise;
    }
}
