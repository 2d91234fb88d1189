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
 * This machine's clock was wrong when the router started, while positions and start times of hosts are told by a
 * right one. A wrong clock may cost reads their replica; it must neither make a stale read, nor wipe a slow start or
 * begin one, nor hide a new primary.
 */
class WrongClockTest {
    private static final long MS = Bed.MS;
    private static final long SECOND = 1_000 * MS;
    private static final long HOUR = 3_600 * SECOND;

    private final Bed bed = new Bed();

    /**
     * Group 0 as the right clock, which is so far ahead of the router's, has it; {@code lag} is that of all replicas.
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

    private void pollAll(long ahead, long lag) {
        for (; bed.answered < bed.probes.size(); bed.answered++) {
            boolean primary = bed.probes.get(bed.answered).equals("p");
            bed.now += MS;
            bed.poll(
                    bed.probes.get(bed.answered),
                    bed.now + ahead - (primary ? 0 : lag),
                    primary ? ReplicationRole.PRIMARY : ReplicationRole.REPLICA);
        }
    }

    private Set<String> hostsOfReads(int reads, int kind, long ahead, long lag) {
        Set<String> hosts = new HashSet<>();
        for (long id = 1; id <= reads; id++) {
            bed.now += 5 * MS;
            int sent = bed.sends.size();
            bed.request(id, kind);
            pollAll(ahead, lag);
            if (bed.sends.size() > sent) {
                hosts.add(bed.last().host());
                bed.outcome(bed.last(), bed.sendsOf(id).size() - 1, AttemptOutcome.SUCCESS);
            }
        }
        return hosts;
    }

    /**
     * The bound is 200 ms: replicas that are 5 s behind are too old, though by a clock that is an hour behind they
     * come from its future.
     */
    @Test
    void clockThatIsBehindMakesNoStaleRead() {
        start(HOUR, 5 * SECOND);
        assertEquals(Set.of("p"), hostsOfReads(100, Bed.BOUNDED, HOUR, 5 * SECOND));
    }

    /** Two seconds behind, and replicas that lag by as much: the smallest step that hides a lag. */
    @Test
    void clockThatIsBehindByAsMuchAsReplicasLagMakesNoStaleRead() {
        start(2 * SECOND, 2 * SECOND);
        assertEquals(Set.of("p"), hostsOfReads(100, Bed.BOUNDED, 2 * SECOND, 2 * SECOND));
    }

    /** Its own answers show what replicas lag: the clock is right there, and those that keep up are used. */
    @Test
    void replicasThatKeepUpAreUsedWhereTheClockIsBehind() {
        start(HOUR, 10 * MS);
        assertTrue(hostsOfReads(100, Bed.BOUNDED, HOUR, 10 * MS).size() > 2);
    }

    /**
     * Started 10 minutes ago, which is 50 minutes ahead of this clock: they are warm, and have the room of warm ones.
     */
    @Test
    void clockThatIsBehindStartsNoSlowStart() {
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
     * The list comes before the first poll: a slow start that rests on the wrong clock alone is over when positions
     * show it wrong.
     */
    @Test
    void slowStartOfAWrongClockEndsWithTheFirstPositions() {
        bed.now = 100 * HOUR;
        bed.start();
        long started = bed.now + HOUR - 600 * SECOND;
        bed.list(
                EndpointUpdateType.SNAPSHOT,
                new EndpointEntry("p", false, "z", 0, EndpointState.SERVING, 1, started),
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, started));
        bed.poll("p", bed.now + HOUR, ReplicationRole.PRIMARY);
        bed.poll("r1", bed.now + HOUR, ReplicationRole.REPLICA);
        // 40 at once: a cold replica would be given its fifth of them at most.
        int sent = bed.sends.size();
        for (long id = 1; id <= 12; id++) {
            bed.request(id, Bed.ANY);
        }
        assertTrue(bed.sends.size() - sent >= 10, "sent " + (bed.sends.size() - sent));
    }

    /** Started a second ago by the right clock; this one is an hour ahead. */
    @Test
    void clockThatIsAheadWipesNoSlowStart() {
        start(-HOUR, 10 * MS);
        bed.list(
                EndpointUpdateType.DELTA,
                new EndpointEntry("r1", false, "z", 0, EndpointState.SERVING, 1, bed.now - HOUR - SECOND));
        assertTrue(bed.logs.contains("slow start r1: capacity grows from its start on"), bed.logs.toString());
    }

    /**
     * Listed as started a second ago before any position is known; the first positions show that the clock is an hour
     * ahead.
     */
    @Test
    void slowStartThatAClockAheadHidBeginsWithTheFirstPositions() {
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
     * An answer of the old primary stands at this clock's time, a poll of the new one at the right clock's, an hour
     * before.
     */
    @Test
    void newPrimaryThatAPollTellsOfIsFoundWhereTheClockIsAhead() {
        start(-HOUR, 10 * MS);
        bed.request(1, Bed.UNSAFE_WRITE);
        bed.outcome(bed.last(), 0, AttemptOutcome.SUCCESS, ReplicationRole.PRIMARY, Positions.UNKNOWN);
        bed.now += 10 * SECOND;
        bed.poll("r1", bed.now - HOUR, ReplicationRole.PRIMARY);
        bed.request(2, Bed.UNSAFE_WRITE);
        assertEquals("r1", bed.last().host());
    }

    /**
     * A primary unheard of for long is polled before a write: positions in this clock's future are no sign of life
     * for an hour.
     */
    @Test
    void lostPrimaryIsNotTakenToLiveWhereTheClockIsBehind() {
        start(HOUR, 10 * MS);
        bed.now += 10 * SECOND;
        bed.probes.clear();
        bed.answered = 0;
        int sent = bed.sends.size();
        bed.request(1, Bed.UNSAFE_WRITE);
        assertEquals(sent, bed.sends.size(), "a write goes to a primary that was not heard of for 10 s");
        assertTrue(bed.probes.contains("p"));
    }

    /** Nothing of this concerns a clock that is right to within what machines' clocks differ by. */
    @Test
    void readsAreSpreadByARightClock() {
        start(2 * MS, 10 * MS);
        assertTrue(hostsOfReads(100, Bed.BOUNDED, 2 * MS, 10 * MS).size() > 2);
    }
}
