package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ShutdownScheduleTest {
    private static final long SIGNALLED_MICROS = 1_800_000_000_000_000L;

    private static long sinceSignal(long micros) {
        return micros - SIGNALLED_MICROS;
    }

    @Test
    void stepsAreScheduledBeforeTheTimeOfSigkill() {
        ShutdownSchedule schedule = ShutdownSchedule.after(SIGNALLED_MICROS, 2_000_000, false);

        assertEquals(2_700_000, sinceSignal(schedule.killMicros()));
        assertEquals(650_000, sinceSignal(schedule.drainFromMicros()));
        assertEquals(2_400_000, sinceSignal(schedule.respondByMicros()));
        assertEquals(1_900_000, sinceSignal(schedule.stopListeningMicros()));
    }

    @Test
    void longestDeadlineIsLimitedToThatOfThePlatform() {
        ShutdownSchedule schedule = ShutdownSchedule.after(SIGNALLED_MICROS, 60_000_000, false);

        assertEquals(3_700_000, sinceSignal(schedule.killMicros()));
    }

    @Test
    void frontsStopListeningEarlyIfASuccessorListens() {
        ShutdownSchedule schedule = ShutdownSchedule.after(SIGNALLED_MICROS, 3_000_000, true);

        assertEquals(500_000, sinceSignal(schedule.stopListeningMicros()));
    }

    /** Connections that are being established at the time of the signal are served even if deadlines are short. */
    @Test
    void frontsKeepListeningForTheMinimumTimeIfDeadlinesAreShort() {
        ShutdownSchedule schedule = ShutdownSchedule.after(SIGNALLED_MICROS, 100_000, false);

        assertEquals(500_000, sinceSignal(schedule.stopListeningMicros()));
    }
}
