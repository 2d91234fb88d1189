package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ShutdownScheduleTest {
    private static final long SIGNALLED = 1_800_000_000_000_000L;

    private static long sinceSignal(long micros) {
        return micros - SIGNALLED;
    }

    @Test
    void stepsAreDueBeforeTheLongestDeadlineAndTheTimeWithoutAnAnswerAreOver() {
        ShutdownSchedule schedule = ShutdownSchedule.after(SIGNALLED, 2_000_000, false);

        assertEquals(2_700_000, sinceSignal(schedule.killMicros()));
        assertEquals(650_000, sinceSignal(schedule.drainFromMicros()));
        assertEquals(2_400_000, sinceSignal(schedule.respondByMicros()));
        assertEquals(1_900_000, sinceSignal(schedule.stopListeningMicros()));
    }

    @Test
    void deadlinesAboveThePlatformsLimitAreTakenAsThatLimit() {
        ShutdownSchedule schedule = ShutdownSchedule.after(SIGNALLED, 60_000_000, false);

        assertEquals(3_700_000, sinceSignal(schedule.killMicros()));
    }

    @Test
    void frontsStopListeningEarlyWhereASuccessorListens() {
        ShutdownSchedule schedule = ShutdownSchedule.after(SIGNALLED, 3_000_000, true);

        assertEquals(500_000, sinceSignal(schedule.stopListeningMicros()));
    }

    /** Connections that were on their way at the signal are served even where deadlines are short. */
    @Test
    void frontsListenForAWhileHoweverShortTheDeadlinesAre() {
        ShutdownSchedule schedule = ShutdownSchedule.after(SIGNALLED, 100_000, false);

        assertEquals(500_000, sinceSignal(schedule.stopListeningMicros()));
    }
}
