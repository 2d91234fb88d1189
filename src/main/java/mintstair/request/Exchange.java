package mintstair.request;

/** A request that was taken in, and the guarantee that its client gets one final answer, not two. */
public final class Exchange {
    private final ProxyRequest request;
    private final ResponseListener client;
    private final long arrived;
    private final long number;
    private boolean over;

    public Exchange(long number, ProxyRequest request, long arrived, ResponseListener client) {
        this.number = number;
        this.request = request;
        this.arrived = arrived;
        this.client = client;
    }

    /** This proxy's own number for it, never reused. */
    public long number() {
        return number;
    }

    public ProxyRequest request() {
        return request;
    }

    public long arrived() {
        return arrived;
    }

    /** When the client gives up, on the proxy's clock. */
    public long deadline() {
        return arrived + request.timeoutMicros();
    }

    public boolean isOver() {
        return over;
    }

    /** Whether somebody still waits for the answer; a client's leaving shows here before the loop comes to hear of it. */
    public boolean isWanted() {
        return !over && !client.isGone();
    }

    /** Gives the final answer; false, and nothing done, where there was one or the client has left. */
    public boolean answer(Response answer) {
        if (over) {
            return false;
        }
        over = true;
        client.answer(answer);
        return true;
    }

    /** Passes on a part of an answer too long to be held; from then on no other answer can be given. */
    public void part(byte[] bytes, Runnable taken) {
        client.part(bytes, taken);
    }

    /** Ends an answer of which parts went on, and that cannot be finished. */
    public void cut() {
        over = true;
        client.cut();
    }

    /** The client has left: nobody is owed an answer any more. */
    public void abandon() {
        over = true;
    }
}
