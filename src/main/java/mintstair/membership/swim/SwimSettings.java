package mintstair.membership.swim;

/**
 * The constants of the protocol. All times are in microseconds.
 *
 * @param periodMicros the protocol period: how often a member probes another one
 * @param ackTimeoutMicros how long it waits for an ack before it requests indirect probes
 * @param indirectProbes how many other members it asks for an indirect probe
 * @param minSuspicionPeriods shortest suspicion timeout, in periods per power of ten of the fleet's size
 * @param processGonePeriods suspicion timeout, in periods, of a member whose address refused a connection: its process
 *     is gone, whereas one that is stopped or partitioned does not refuse connections
 * @param maxSuspicionFactor longest suspicion timeout, as a multiple of the shortest
 * @param suspicionConfirmations number of independent confirmations that reduce the timeout to the shortest
 * @param retransmitFactor how often an update is sent, per power of ten of the fleet's size
 * @param maxHealthMultiplier bound of the local health multiplier, by which a slow member extends period and timeout
 * @param syncIntervalMicros mean time between two rounds of anti-entropy
 * @param retentionMicros how long members that are dead or left are remembered
 * @param maxMembers bound of the fleet's size; further members are rejected
 * @param configuredSize fleet size that the operator has configured
 */
public record SwimSettings(
        long periodMicros,
        long ackTimeoutMicros,
        int indirectProbes,
        double minSuspicionPeriods,
        double processGonePeriods,
        double maxSuspicionFactor,
        int suspicionConfirmations,
        double retransmitFactor,
        int maxHealthMultiplier,
        long syncIntervalMicros,
        long retentionMicros,
        int maxMembers,
        int configuredSize) {

    /** Periods for each doubling of the fleet within which an update reaches all members, with a wide margin. */
    private static final double SPREAD_PERIODS = 5;
    /**
     * Lower bound for the power of ten in the number of transmissions: in a small fleet many of them go to the member
     * that the update is about or to members that sent it.
     */
    private static final int MIN_SIZE_MAGNITUDE = 2;

    /** Settings for a network of one site. */
    public static SwimSettings forLocalNetwork(int configuredSize) {
        return new SwimSettings(
                400_000, 120_000, 3, 20, 1, 2, 2, 6, 4, 4_000_000, 3_600_000_000L, 4096, configuredSize);
    }

    /** The same protocol at another pace: all times in proportion to the period, but for the retention. */
    public SwimSettings withPeriodMicros(long newPeriodMicros) {
        double factor = (double) newPeriodMicros / periodMicros;
        return new SwimSettings(
                newPeriodMicros,
                (long) (ackTimeoutMicros * factor),
                indirectProbes,
                minSuspicionPeriods,
                processGonePeriods,
                maxSuspicionFactor,
                suspicionConfirmations,
                retransmitFactor,
                maxHealthMultiplier,
                (long) (syncIntervalMicros * factor),
                retentionMicros,
                maxMembers,
                configuredSize);
    }

    /** The same settings with another retention of members that are dead or left. */
    public SwimSettings withRetentionMicros(long newRetentionMicros) {
        return new SwimSettings(
                periodMicros,
                ackTimeoutMicros,
                indirectProbes,
                minSuspicionPeriods,
                processGonePeriods,
                maxSuspicionFactor,
                suspicionConfirmations,
                retransmitFactor,
                maxHealthMultiplier,
                syncIntervalMicros,
                newRetentionMicros,
                maxMembers,
                configuredSize);
    }

    /** The shortest suspicion timeout in a fleet of this size. */
    long minSuspicionMicros(int members) {
        return (long) (minSuspicionPeriods * Math.max(1, Math.log10(Math.max(1, members))) * periodMicros);
    }

    /** The longest suspicion timeout in a fleet of this size. */
    long maxSuspicionMicros(int members) {
        return (long) (maxSuspicionFactor * minSuspicionMicros(members));
    }

    /** Suspicion timeout of a member whose process is gone. */
    long processGoneMicros() {
        return (long) (processGonePeriods * periodMicros);
    }

    /** Upper bound of the time in which an update reaches all members. */
    long spreadMicros(int members) {
        long spreadPeriods = (long) (SPREAD_PERIODS * Math.ceil(Math.log(members + 1) / Math.log(2)));
        return spreadPeriods * periodMicros;
    }

    /** How often each update is sent in a fleet of this size. */
    int maxTransmissions(int members) {
        double magnitude = Math.max(MIN_SIZE_MAGNITUDE, Math.ceil(Math.log10(members + 1)));
        return (int) Math.ceil(retransmitFactor * magnitude);
    }
}
