package mintstair.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

/** What a router remembers: plain facts, read and written by ReadWriteSplitter, which alone decides. */
final class RouterState {
    private RouterState() {}

    /** A time before all others. */
    static final long NEVER = Long.MIN_VALUE / 4;

    /** What is known of one host. */
    static final class Host {
        final String name;
        final String zone;
        final Group group;
        final ConcurrencyLimit asPrimary;
        final SlowStart slowStart = new SlowStart();
        boolean ready, drains, doubted, silent, pollOut;
        long listedStart, pollDue, goneAt;
        long position = Positions.UNKNOWN;
        long lag = Long.MAX_VALUE;
        long toldAt, replicaAt, answeredAt, accruedAt;
        long heardAt = NEVER, polledAt = NEVER, missAt = NEVER, fullAt = NEVER, silentAt = NEVER;
        int inFlight, lost, unanswered;
        final HostHealth health = new HostHealth();
        double owed;

        Host(String name, String zone, Group group, ConcurrencyLimit asPrimary) {
            this.name = name;
            this.zone = zone;
            this.group = group;
            this.asPrimary = asPrimary;
        }
    }

    /** One primary and its replicas, as far as known, and the requests that wait for one of them. */
    static final class Group {
        final int number;
        final List<Host> members = new ArrayList<>();
        final ArrayDeque<Open> waiting = new ArrayDeque<>();
        final ConcurrencyLimit eachReplica;
        Host primary;
        long primaryAt = Positions.UNKNOWN;
        long head, soughtAt = NEVER, reportAge;
        int seeks;
        double fallen;

        Group(int number, ConcurrencyLimit eachReplica, long reportAge) {
            this.number = number;
            this.eachReplica = eachReplica;
            this.reportAge = reportAge;
        }
    }

    /** A class of requests and how long its answers take. */
    static final class Kind {
        final RequestClass of;
        double mean, deviation, worth = 1, room = 1;
        /** How much of the mean is still what the settings made of it. */
        double assumed = 1;

        Kind(RequestClass of) {
            this.of = of;
        }
    }

    /** What a tenant has saved up of its share of this router's traffic. */
    static final class Share {
        double saved;
        long at;

        Share(long at, double saved) {
            this.at = at;
            this.saved = saved;
        }
    }

    /** A request that is not over, or some attempt of which is still out. */
    static final class Open {
        final RoutingRequest request;
        final Kind kind;
        final long arrived, deadline, token;
        final boolean overShare;
        final double luck;
        final Host[] tried;
        final long[] sentAt;
        final boolean[] isOut;
        int attempts, out, asked;
        boolean mayHaveRun, finished, waits, counted, overdue;
        long firstMayHaveRun, waitsSince, askedAt = NEVER;

        Open(RoutingRequest request, Kind kind, long now, long token, boolean overShare, double luck, int most) {
            this.request = request;
            this.kind = kind;
            arrived = now;
            deadline = now + request.timeoutMicros();
            this.token = token;
            this.overShare = overShare;
            this.luck = luck;
            tried = new Host[most];
            sentAt = new long[most];
            isOut = new boolean[most];
        }

        /** Whether an attempt is out at the host, or with {@code orWas} ever was. */
        boolean isAt(Host h, boolean orWas) {
            for (int i = 0; i < attempts; i++) {
                if (tried[i] == h && (orWas || isOut[i])) return true;
            }
            return false;
        }

        boolean needsPrimary() {
            return kind.of.consistency() == Consistency.WRITE || kind.of.consistency() == Consistency.STRONG;
        }

        boolean repeatable() {
            return kind.of.idempotency() == Idempotency.IDEMPOTENT && request.stickyHost() == null;
        }
    }
}
