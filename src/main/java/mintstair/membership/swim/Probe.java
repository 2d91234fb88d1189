package mintstair.membership.swim;

/** The ping that is out, one at a time: whom, since when, and what has come of it. */
final class Probe {
    final long seq;
    final String target;
    final long begun;
    /** Whether others were asked to help, and how many of them said that they got no answer either. */
    boolean helped;

    int nacks;
    boolean answered;
    /** A connection to its address was turned away, or taken by another process. */
    boolean closed;

    Probe(long seq, String target, long begun) {
        this.seq = seq;
        this.target = target;
        this.begun = begun;
    }
}
