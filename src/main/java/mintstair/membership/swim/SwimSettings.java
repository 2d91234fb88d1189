package mintstair.membership.swim;

/**
 * The parameters of the protocol.
 *
 * @param periodMicros the protocol period, in which a member probes one other member
 * @param ackTimeoutMicros how long a member waits for an ack before it requests indirect probes
 * @param indirectProbes how many other members are asked to relay a probe
 * @param minSuspicionPeriods shortest suspicion timeout, in periods times the decimal logarithm of the fleet size
 * @param processGonePeriods suspicion timeout, in periods, of a member whose process has ended by the result of a
 *     connection check; a process that is stopped or partitioned does not refuse connections
 * @param maxSuspicionFactor longest suspicion timeout, as a multiple of the shortest
 * @param suspicionConfirmations number of independent confirmations that reduce the timeout to the shortest
 * @param retransmitFactor number of transmissions of an update, per power of ten of the fleet size
 * @param maxHealthMultiplier maximum of the local health multiplier, by which a slow member extends its period and ack
 *     timeout
 * @param syncIntervalMicros mean time between two rounds of anti-entropy
 * @param retentionMicros how long members that are dead or left are kept in the member table
 * @param maxMembers maximum size of the fleet; further members are rejected
 * @param configuredSize fleet size given in the configuration
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

    /** Periods per doubling of the fleet size within which an update reaches all members, with a wide margin. */
    private static final double DISSEMINATION_PERIODS_PER_DOUBLING = 5;
    /**
     * Minimum power of ten of the fleet size in the number of transmissions. In a small fleet, many transmissions go to
     * the member concerned or to members that already have the update.
     */
    private static final int MIN_SIZE_POWER_OF_TEN = 2;

    /** Returns settings for members within one local network. */
    public static SwimSettings forLocalNetwork(int configuredSize) {
        return new SwimSettings(
                400_000, 120_000, 3, 20, 1, 2, 2, 6, 4, 4_000_000, 3_600_000_000L, 4096, configuredSize);
    }

    /** Returns these settings with another period, and all times except the retention scaled in proportion. */
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

    /** Returns these settings with another retention of members that are dead or left. */
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

    /** Returns the shortest suspicion timeout in a fleet of the given size. */
    long minSuspicionMicros(int members) {
        return (long) (minSuspicionPeriods * Math.max(1, Math.log10(Math.max(1, members))) * periodMicros);
    }

    /** Returns the longest suspicion timeout in a fleet of the given size. */
    long maxSuspicionMicros(int members) {
        return (long) (maxSuspicionFactor * minSuspicionMicros(members));
    }

    /** Returns the suspicion timeout of a member whose process has ended. */
    long processGoneMicros() {
        return (long) (processGonePeriods * periodMicros);
    }

    /** Returns an upper bound of the time within which an update reaches all members. */
    long disseminationMicros(int members) {
        double doublings = Math.ceil(Math.log(members + 1) / Math.log(2));
        long disseminationPeriods = (long) (DISSEMINATION_PERIODS_PER_DOUBLING * doublings);
        return disseminationPeriods * periodMicros;
    }

    /** Returns how many times each member sends an update in a fleet of the given size. */
    int maxTransmissions(int members) {
        double powerOfTen = Math.max(MIN_SIZE_POWER_OF_TEN, Math.ceil(Math.log10(members + 1)));
        return (int) Math.ceil(retransmitFactor * powerOfTen);
    }
}
