package mintstair.decision;

/** The rules' figures; with {@code removalIsAdvisory} only draining binds, and a gone host may still serve. */
public record ProtectionSettings(
        long drainGraceMicros,
        double slowStartInitialShare,
        long slowStartMicros,
        double overloadMultiple,
        long overloadSpanMicros,
        boolean removalIsAdvisory) {}
