package mintstair.membership.swim;

/** The probe of the current protocol period: its target and the responses received so far. */
final class Probe {
    private final long sequence;
    private final String target;
    private final long startMicros;
    private boolean indirectRequested;
    private int nacks;
    private boolean answered;
    private boolean processGone;

    Probe(long sequence, String target, long startMicros) {
        this.sequence = sequence;
        this.target = target;
        this.startMicros = startMicros;
    }

    long sequence() {
        return sequence;
    }

    /** Returns the name of the probed member. */
    String target() {
        return target;
    }

    long startMicros() {
        return startMicros;
    }

    /** Returns whether the direct ping is unanswered and no indirect probes have been requested yet. */
    boolean awaitsDirectAck() {
        return !answered && !indirectRequested;
    }

    void markIndirectProbesRequested() {
        indirectRequested = true;
    }

    boolean isAnswered() {
        return answered;
    }

    void markAnswered() {
        answered = true;
    }

    /** Records that the target did not answer the probe of a relay in time. */
    void recordNack() {
        nacks++;
    }

    /** Returns whether a connection check showed that the target's process has ended. */
    boolean isProcessGone() {
        return processGone;
    }

    void markProcessGone() {
        processGone = true;
    }

    /** Returns whether neither nacks nor evidence of an ended process were received: this member may itself be slow. */
    boolean hasNoResponse() {
        return nacks == 0 && !processGone;
    }
}
