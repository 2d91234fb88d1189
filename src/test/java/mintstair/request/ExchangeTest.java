package mintstair.request;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class ExchangeTest {
    private static final Response REJECTED = new Response.Rejected(0);
    private static final Response LATE = new Response.Failed("late", true);

    private static final class Client implements ResponseListener {
        private final List<Response> responses = new ArrayList<>();
        private boolean gone;

        @Override
        public void onResponse(Response response) {
            responses.add(response);
        }

        @Override
        public boolean isDisconnected() {
            return gone;
        }
    }

    private final Client client = new Client();
    private final Exchange exchange = new Exchange(1, request(900), 100, client);

    private static ProxyRequest request(long timeoutMicros) {
        return new ProxyRequest(
                "id", "any", 1, null, false, timeoutMicros, HostReport.UNKNOWN_POSITION, timeout -> new byte[0], null);
    }

    @Test
    void deadlineIsTheTimeoutAfterTheArrival() {
        assertEquals(1_000, exchange.deadlineMicros());
    }

    @Test
    void secondAnswerIsNotGiven() {
        assertTrue(exchange.respond(REJECTED));

        assertFalse(exchange.respond(LATE));

        assertEquals(List.of(REJECTED), client.responses);
        assertTrue(exchange.isOver());
    }

    @Test
    void abandonedExchangeIsNotAnswered() {
        exchange.abandon();

        assertFalse(exchange.respond(REJECTED));
        assertEquals(List.of(), client.responses);
    }

    @Test
    void exchangeWhoseClientIsGoneIsNotWantedThoughNotOver() {
        assertTrue(exchange.isClientWaiting());

        client.gone = true;

        assertFalse(exchange.isClientWaiting());
        assertFalse(exchange.isOver());
    }

    @Test
    void waitingShortensTheTimeoutToOneMicrosecondAtLeast() {
        assertEquals(500, request(900).withReducedTimeout(400).timeoutMicros());
        assertEquals(1, request(900).withReducedTimeout(5_000).timeoutMicros());
    }
}
