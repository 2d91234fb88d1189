package mintstair.config;

import java.util.ArrayList;
import java.util.Collections;
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

/**
 * The settings of one proxy, read from the platform's object {@code settings}. The constructor translates the keys of
 * the platform into the terms of the code, and times from seconds to microseconds. Immutable.
 *
 * <p>Because the platform may extend the settings, reading is lenient: a key that is missing or whose value has another
 * type gets its default value. {@link SettingsValidator} checks the required keys.
 */
public final class InstanceSettings {
    /** The settings of the decision module. */
    public final RouterSettings routerSettings;
    /** The index in {@code routerSettings.classes()} of each request class, by name; iterates in that order. */
    public final Map<String, Integer> classIndexes;
    /** The index in {@code routerSettings.tenants()} of each tenant, by name. */
    public final Map<String, Integer> tenantIndexes;
    /** The number of proxies that share the hosts and the endpoint list, including this one: {@code balancers}. */
    public final int fleetSize;
    /**
     * Whether the endpoint list is pushed to an agent on this machine, {@code "discovery": "automatic"}, rather than
     * polled by all proxies from one service.
     */
    public final boolean listPushed;
    /** How long requests may still be sent to a host after it began to drain: {@code invariants.drainGraceS}. */
    public final long drainGraceMicros;
    /** The origin of the replication positions in replies: {@code familyInfo.positionZeroS}. */
    public final long positionZeroMicros;
    /** The names of the fields of a host report, in their order: {@code report.fields}. */
    public final List<?> reportFields;
    /** How long a connection may be idle before the host may close it: {@code limits.connIdleS}. */
    public final long connectionIdleMicros;
    /** The time after which an attempt to connect counts as failed: {@code limits.connectTimeoutS}. */
    public final long connectTimeoutMicros;

    /**
     * Reads the settings.
     *
     * @param json the object {@code settings}, as {@link Json} reads it
     * @throws ConfigException if a value is not among the defined ones
     */
    public InstanceSettings(Map<?, ?> json) {
        JsonObject root = JsonObject.root(json);
        JsonObject info = root.object("familyInfo");
        JsonObject limits = root.object("limits");
        Map<String, Integer> indexesByClass = new LinkedHashMap<>();
        List<RequestClass> requestClasses = requestClasses(root, info, indexesByClass);
        classIndexes = Collections.unmodifiableMap(indexesByClass);
        Map<String, Integer> indexesByTenant = new LinkedHashMap<>();
        List<Tenant> quotas = tenants(root, indexesByTenant);
        tenantIndexes = Collections.unmodifiableMap(indexesByTenant);
        positionZeroMicros = info.micros("positionZeroS", 0);
        reportFields = root.object("report").list("fields");
        connectionIdleMicros = limits.micros("connIdleS", 15);
        connectTimeoutMicros = limits.micros("connectTimeoutS", 0.25);
        fleetSize = (int) root.number("balancers", 1);
        listPushed = root.text("discovery", "").equals("automatic");
        routerSettings = readRouterSettings(root, fleetSize, requestClasses, quotas);
        drainGraceMicros = routerSettings.protection().drainGraceMicros();
    }

    /** Returns the longest deadline of all request classes, in microseconds; 0 if there are no classes. */
    public long longestDeadlineMicros() {
        return routerSettings.classes().stream()
                .mapToLong(RequestClass::deadlineMicros)
                .max()
                .orElse(0);
    }

    /** Converts seconds, the unit of all times of the platform, to microseconds. */
    public static long toMicros(double seconds) {
        return JsonObject.toMicros(seconds);
    }

    private static List<RequestClass> requestClasses(JsonObject root, JsonObject info, Map<String, Integer> indexes) {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (Object element : root.list("classes")) {
            JsonObject json = JsonObject.root((Map<?, ?>) element);
            int index = requestClasses.size();
            indexes.put(json.text("name", ""), index);
            requestClasses.add(requestClass(json, info, index));
        }
        return requestClasses;
    }

    /** Reads one class; {@code info} has separate lists of consistency and staleness, in the order of the classes. */
    private static RequestClass requestClass(JsonObject json, JsonObject info, int index) {
        Idempotency idempotency = idempotency(json);
        DeduplicationScope deduplicationScope = deduplicationScope(json);
        Consistency consistency = consistency(info.list("consistency"), index);
        return new RequestClass(
                json.text("name", ""),
                consistency,
                idempotency,
                deduplicationScope,
                maxStalenessMicros(info.list("classBoundS"), index),
                json.micros("sloS", 1), // latency objective
                json.micros("deadlineS", 1),
                json.micros("windowS", 0), // deduplication window
                json.number("worth", 1), // priority weight
                json.number("lateValue", 0));
    }

    private static Idempotency idempotency(JsonObject requestClass) {
        return switch (requestClass.text("repeat", "at_most_once")) {
            case "idempotent" -> Idempotency.IDEMPOTENT;
            case "deduplicated" -> Idempotency.IDEMPOTENCY_KEY;
            case "at_most_once" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw requestClass.error("repeat", "unknown repeat " + requestClass.get("repeat"));
        };
    }

    /** Which hosts share the idempotency keys that they have seen. */
    private static DeduplicationScope deduplicationScope(JsonObject requestClass) {
        return switch (requestClass.text("group", "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.GROUP;
            default -> throw requestClass.error("group", "unknown group " + requestClass.get("group"));
        };
    }

    private static Consistency consistency(List<?> names, int index) {
        return switch (index < names.size() ? String.valueOf(names.get(index)) : "any") {
            case "write" -> Consistency.WRITE;
            case "fresh" -> Consistency.STRONG;
            case "session" -> Consistency.SESSION;
            case "bounded" -> Consistency.BOUNDED_STALENESS;
            case "any" -> Consistency.EVENTUAL;
            default -> throw ConfigException.at("familyInfo.consistency", "unknown consistency " + names.get(index));
        };
    }

    private static long maxStalenessMicros(List<?> seconds, int index) {
        return index < seconds.size() ? toMicros(((Number) seconds.get(index)).doubleValue()) : 0;
    }

    private static List<Tenant> tenants(JsonObject root, Map<String, Integer> indexes) {
        List<Tenant> tenants = new ArrayList<>();
        for (Object element : root.list("tenants")) {
            JsonObject json = JsonObject.root((Map<?, ?>) element);
            String name = json.text("name", "");
            indexes.put(name, tenants.size());
            tenants.add(new Tenant(name, json.number("quotaRps", 0)));
        }
        return tenants;
    }

    private static RouterSettings readRouterSettings(
            JsonObject root, int fleetSize, List<RequestClass> requestClasses, List<Tenant> tenants) {
        JsonObject info = root.object("familyInfo");
        JsonObject prices = root.object("prices");
        return new RouterSettings(
                fleetSize,
                (int) root.number("position", 0),
                root.text("locality", ""),
                requestClasses,
                tenants,
                root.number("overShareWorth", 1), // priority weight of a tenant above its quota
                info.text("sessionMarks", "").equals("remembered"),
                replicaReadCheck(info),
                info.flag("tellsPosition", false),
                info.text("listRole", "none").equals("late"),
                root.text("discovery", "").equals("subscribe"),
                root.object("clients").flag("marksRetry", false),
                prices.number("probe", 0), // cost of a health check
                prices.number("crossZone", 0),
                protection(root.object("invariants")),
                attemptLimits(root.object("limits")));
    }

    /** Reads what a replica does with a read that requires a later position than its own. */
    private static ReplicaReadCheck replicaReadCheck(JsonObject info) {
        String name = info.text("serverChecks", "none");
        return switch (name) {
            case "none" -> ReplicaReadCheck.NONE;
            case "refuse" -> ReplicaReadCheck.REJECT;
            case "wait" -> ReplicaReadCheck.WAIT;
            default -> throw info.error("serverChecks", "unknown serverChecks " + name);
        };
    }

    private static ProtectionSettings protection(JsonObject invariants) {
        Object removalIsAdvisory = invariants.get("goneIsAdvice");
        if (removalIsAdvisory != null && !(removalIsAdvisory instanceof Boolean)) {
            throw invariants.error("goneIsAdvice", "goneIsAdvice must be true or false");
        }
        return new ProtectionSettings(
                invariants.micros("drainGraceS", 0),
                invariants.number("coldFrom", 1), // weight at the start of a slow start
                invariants.micros("warmAfterS", 0), // duration of a slow start
                invariants.number("fallMultiple", 1), // bound of the fallback to the primary
                invariants.micros("fallS", 1), // window of that bound
                Boolean.TRUE.equals(removalIsAdvisory));
    }

    private static AttemptLimits attemptLimits(JsonObject limits) {
        return new AttemptLimits(
                (int) limits.number("maxAttempts", 1),
                limits.flag("cancelling", false),
                limits.flag("probing", false), // health checks
                limits.flag("peerMessages", false), // gossip
                limits.flag("secondCopies", false), // hedged requests
                limits.flag("retryAfter", false),
                limits.micros("maxRetryAfterS", 0));
    }
}
