package mintstair.front;

import mintstair.proxy.Dispatcher;
import mintstair.request.Exchange;
import mintstair.request.GiveUpReason;
import mintstair.request.ProxyRequest;
import mintstair.request.ResponseListener;

/**
 * The request of a client that is in flight, of which there is one at most. It takes a part of the {@link
 * ClientMemoryBudget} until it ends. Runs on the event loop.
 */
final class RequestInFlight {
    private final Dispatcher dispatcher;
    private final InputFlowControl flow;
    private Exchange exchange;
    private long submittedRequests;
    private long endedRequests;

    RequestInFlight(Dispatcher dispatcher, InputFlowControl flow) {
        this.dispatcher = dispatcher;
        this.flow = flow;
    }

    /** Whether a request is in flight. */
    boolean isPending() {
        return exchange != null;
    }

    /**
     * Submits a request, or rejects it if there is no room for it in memory.
     *
     * @param heapBytes the heap that the request takes until it ends, in bytes
     * @param waitedMicros how much of its timeout has passed
     * @param client receives the response; must call {@link #ended} before it acts on it
     */
    void submit(ProxyRequest request, long heapBytes, long waitedMicros, ResponseListener client) {
        if (!flow.hasRoomFor(heapBytes)) {
            client.onResponse(dispatcher.reject(request, GiveUpReason.MEMORY));
            return;
        }
        flow.requestStarted(heapBytes);
        long number = ++submittedRequests;
        Exchange submitted = dispatcher.submit(request, waitedMicros, client);
        // It may have ended already, and the next request may have been submitted.
        if (endedRequests < number) {
            exchange = submitted;
        }
    }

    /** Records that the request has ended. */
    void ended() {
        exchange = null;
        endedRequests = submittedRequests;
        flow.requestEnded();
    }

    /** Abandons the request, if there is one: its client no longer waits for the response. */
    void abandon() {
        if (exchange != null) {
            Exchange abandoned = exchange;
            ended();
            dispatcher.clientDisconnected(abandoned);
        }
    }
}
