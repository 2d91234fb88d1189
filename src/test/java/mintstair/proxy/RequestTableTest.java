package mintstair.proxy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import mintstair.request.ConnectionEnd;
import mintstair.request.Exchange;
import mintstair.request.HostReport;
import mintstair.request.ProxyRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class RequestTableTest {
    private static final Backend.Attempt ATTEMPT = () -> {};

    private final EventLoop loop = new EventLoop(() -> 0);
    private final RequestTable table = new RequestTable();

    @AfterEach
    void closeLoop() {
        loop.close();
    }

    private AcceptedRequest add(long number, String id) {
        ProxyRequest request = new ProxyRequest(
                id, "any", 1, null, false, 1_000_000, HostReport.UNKNOWN_POSITION, timeout -> new byte[0], null);
        AcceptedRequest accepted = new AcceptedRequest(new Exchange(number, request, 0, response -> {}));
        accepted.setDeadlineGuard(DeadlineGuard.start(loop, Long.MAX_VALUE / 2, () -> {}));
        table.add(accepted);
        return accepted;
    }

    private void abandon(AcceptedRequest request) {
        request.exchange().abandon();
        table.close(request);
    }

    @Test
    void addedRequestIsFoundByItsNumberAndItsIdIsOpen() {
        AcceptedRequest request = add(1, "a");

        assertSame(request, table.get(1));
        assertTrue(table.hasOpenRequest("a"));
        assertEquals(1, table.countInFlight());
    }

    @Test
    void closedRequestIsRetainedUntilItsLastAttemptEnds() {
        AcceptedRequest request = add(1, "a");
        request.addAttempt(0, ATTEMPT);

        abandon(request);
        assertFalse(table.hasOpenRequest("a"));
        assertEquals(0, table.countInFlight());
        assertSame(request, table.get(1));

        request.attemptEnded(0, ConnectionEnd.CALLED_OFF);
        table.close(request);
        assertNull(table.get(1));
    }

    @Test
    void lateEndOfAnAttemptDoesNotCloseANewRequestWithTheSameId() {
        AcceptedRequest first = add(1, "a");
        first.addAttempt(0, ATTEMPT);
        abandon(first);
        AcceptedRequest second = add(2, "a");

        first.attemptEnded(0, ConnectionEnd.CALLED_OFF);
        table.close(first);

        assertTrue(table.hasOpenRequest("a"));
        assertSame(second, table.get(2));
        assertEquals(1, table.countInFlight());
    }
}
