package mintstair.membership.swim;

/** The probe of the current protocol period: its target, and what has come of it so far. */
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

    /** Name of the probed member. */
    String target() {
        return target;
    }

    long startMicros() {
        return startMicros;
    }

    /** Whether the direct ping has no answer yet and other members have not been asked. */
    boolean awaitsDirectAck() {
        return !answered && !indirectRequested;
    }

    void indirectProbesRequested() {
        indirectRequested = true;
    }

    boolean isAnswered() {
        return answered;
    }

    void answered() {
        answered = true;
    }

    /** A relay reports that the target did not answer it either. */
    void nackReceived() {
        nacks++;
    }

    /** Whether a connection to the target's address showed that the process is gone. */
    boolean isProcessGone() {
        return processGone;
    }

    void processGone() {
        processGone = true;
    }

    /** Whether nothing at all came back, not even from other members: then this member may itself be slow. */
    boolean hasNoResponse() {
        return nacks == 0 && !processGone;
    }
}
