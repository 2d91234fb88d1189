package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import mintstair.request.ReplicationRole;
import org.junit.jupiter.api.Test;

/**
 * Tests a router whose own clock is wrong, while hosts report positions and start times by a right clock. A wrong clock
 * may keep reads from being sent to replicas, but it must not lead to stale reads, must neither hide a slow start nor
 * cause one, and must not hide a new primary.
 */
class ClockSkewTest {
    private static final long MS = Bed.MS;
    private static final long SECOND = 1_000 * MS;
    private static final long HOUR = 3_600 * SECOND;

    private final Bed bed = new Bed();

    /**
     * Starts the router and reports the state of replica set 0.
     *
     * @param ahead by how much the clock of the hosts is ahead of that of the router
     * @param lag the replication lag of all replicas
     */
    private void start(long ahead, long lag) {
        bed.now = 100 * HOUR;
        bed.start();
        bed.list(EndpointUpdateType.SNAPSHOT, Bed.ready("p"), Bed.ready("r1"), Bed.ready("r2"), Bed.ready("r3"));
        for (String replica : List.of("r1", "r2", "r3")) {
            bed.poll(replica, bed.now + ahead - lag, ReplicationRole.REPLICA);
        }
        bed.poll("p", bed.now + ahead, ReplicationRole.PRIMARY);
    }

    /** Answers all open polls, as {@link #start} reports the state. */
    private void answerPolls(long ahead, long lag) {
        for (; bed.answered < bed.probes.size(); bed.answered++) {
            boolean isPrimary = bed.probes.get(bed.answered).equals("p");
            bed.now += MS;
            bed.poll(
                    bed.probes.get(bed.answered),
                    bed.now + ahead - (isPrimary ? 0 : lag),
                    isPrimary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
        }
    }

    /** Sends reads of one class and returns the hosts that they were sent to. */
    private Set<String> hostsOfReads(int reads, int classIndex, long ahead, long lag) {
        Set<String> hosts = new HashSet<>();
        for (long id = 1; id <= reads; id++) {
            bed.now += 5 * MS;
            int sentBefore = bed.sends.size();
            bed.request(id, classIndex);
            answerPolls(ahead, lag);
            if (bed.sends.size() > sentBefore) {
                hosts.add(bed.last().host());
                bed.outcome(bed.last(), bed.sendsOf(id).size() - 1, AttemptOutcome.SUCCESS);
            }
        }
        return hosts;
    }

    /**
     * The staleness bound is 200 ms. Replicas that lag by 5 s are too old, although their positions are in the future
     * of a clock that is an hour behind.
     */
    @Test
    void clockBehindCausesNoStaleReads() {
        start(HOUR, 5 * SECOND);
        assertEquals(Set.of("p"), hostsOfReads(100, Bed.BOUNDED, HOUR, 5 * SECOND));
    }

    /** A clock that is behind by exactly the replication lag makes the replicas seem up to date. */
    @Test
    void clockBehindByTheReplicationLagCausesNoStaleReads() {
        start(2 * SECOND, 2 * SECOND);
        assertEquals(Set.of("p"), hostsOfReads(100, Bed.BOUNDED, 2 * SECOND, 2 * SECOND));
    }

    /**
     * The positions of the primary reveal the error of the clock, so that replicas with little lag are still
     * recognized.
     */
    @Test
    void replicasWithLittleLagAreUsedWhenTheClockIsBehind() {
        start(HOUR, 10 * MS);
        assertTrue(hostsOfReads(100, Bed.BOUNDED, HOUR, 10 * MS).size() > 2);
    }

    /** The hosts started 10 minutes ago, which is 50 minutes ahead of the clock of the router. They are warm. */
    @Test
    void clockBehindCausesNoSlowStart() {
        start(HOUR, 10 * MS);
        long started = bed.now + HOUR - 600 * SECOND;
        for (String host : List.of("p", "r1", "r2", "r3")) {
            bed.list(
                    EndpointUpdateType.DELTA,
                    new EndpointEntry(host, false, "z", 0, EndpointState.SERVING, 1, started));
        }
        assertFalse(bed.logs.stream().anyMatch(line -> line.startsWith("slow start ")), bed.logs.toString());
    }

    /**
     * The endpoint list arrives before the first poll: the slow start that follows from the wrong clock ends when
     * positions reveal the error.
     */
    @Test
    void slowStartCausedByAClockBehindEndsWithTheFirstPositions() {
        bed.now = 100 * HOUR;
        bed.start();
        long started = bed.now + HOUR - 600 * SECOND;
        bed.list(
                EndpointUpdateType.SNAPSHOT,
                new EndpointEntry("p", false, "z", 0, EndpointState.SERVING, 1, started),
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, started));
        bed.poll("p", bed.now + HOUR, ReplicationRole.PRIMARY);
        bed.poll("r1", bed.now + HOUR, ReplicationRole.REPLICA);
        // A replica in slow start would get only a fifth of the requests.
        int sentBefore = bed.sends.size();
        for (long id = 1; id <= 12; id++) {
            bed.request(id, Bed.ANY);
        }
        assertTrue(bed.sends.size() - sentBefore >= 10, "sent " + (bed.sends.size() - sentBefore) + " of 12");
    }

    /** The host started a second ago by the right clock, while the clock of the router is an hour ahead. */
    @Test
    void clockAheadHidesNoSlowStart() {
        start(-HOUR, 10 * MS);
        bed.list(
                EndpointUpdateType.DELTA,
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, bed.now - HOUR - SECOND));
        assertTrue(bed.logs.contains("slow start r1: capacity grows from its start on"), bed.logs.toString());
    }

    /**
     * The host is listed as started a second ago before any position is known; the first positions reveal that the
     * clock of the router is an hour ahead.
     */
    @Test
    void slowStartHiddenByAClockAheadBeginsWithTheFirstPositions() {
        bed.now = 100 * HOUR;
        bed.start();
        bed.list(
                EndpointUpdateType.SNAPSHOT,
                Bed.ready("p"),
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, bed.now - HOUR - SECOND));
        bed.poll("p", bed.now - HOUR, ReplicationRole.PRIMARY);
        bed.poll("r1", bed.now - HOUR, ReplicationRole.REPLICA);
        assertTrue(bed.logs.contains("slow start r1: capacity grows from its start on"), bed.logs.toString());
    }

    /**
     * The reply of the old primary is dated by the clock of the router, the report of the new one by the right clock,
     * which is an hour earlier.
     */
    @Test
    void newPrimaryReportedByAPollIsFoundWhenTheClockIsAhead() {
        start(-HOUR, 10 * MS);
        bed.request(1, Bed.UNSAFE_WRITE);
        bed.outcome(bed.last(), 0, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, Positions.UNKNOWN);
        bed.now += 10 * SECOND;
        bed.poll("r1", bed.now - HOUR, ReplicationRole.PRIMARY);
        bed.request(2, Bed.UNSAFE_WRITE);
        assertEquals("r1", bed.last().host());
    }

    /**
     * A primary that has not replied for long is polled before a write. Positions in the future of a clock that is an
     * hour behind must not count as recent replies.
     */
    @Test
    void primaryWithoutRecentReplyIsPolledWhenTheClockIsBehind() {
        start(HOUR, 10 * MS);
        bed.now += 10 * SECOND;
        bed.probes.clear();
        bed.answered = 0;
        int sentBefore = bed.sends.size();
        bed.request(1, Bed.UNSAFE_WRITE);
        assertEquals(sentBefore, bed.sends.size(), "write was sent to a primary that has not replied for 10 s");
        assertTrue(bed.probes.contains("p"));
    }

    /** A clock that differs by no more than synchronized clocks usually do counts as right. */
    @Test
    void readsAreSpreadOverReplicasWhenTheClockIsRight() {
        start(2 * MS, 10 * MS);
        assertTrue(hostsOfReads(100, Bed.BOUNDED, 2 * MS, 10 * MS).size() > 2);
    }
}
