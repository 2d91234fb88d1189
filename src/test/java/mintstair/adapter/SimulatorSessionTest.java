package mintstair.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

class SimulatorSessionTest {
    private static final String SETTINGS = "{\"balancers\":1,\"classes\":[{\"name\":\"r\",\"repeat\":\"idempotent\","
            + "\"sloS\":0.6,\"deadlineS\":2.5,\"worth\":2}],\"familyInfo\":{\"consistency\":[\"any\"]},"
            + "\"limits\":{\"maxAttempts\":3,\"probing\":true},\"invariants\":{\"coldFrom\":0.2},\"later\":[1,{\"x\":2}]}";
    private static final String START_BATCH = "[\"turn\",8.5]\n[\"provision\",3,77," + SETTINGS + "]\n"
            + "[\"pool\",0,[[\"h1\",1,\"z\",\"k\",4,\"ready\",1,null],[\"h2\",0,\"z\",\"k\",4,\"ready\",1.5,6.1]]]\n"
            + "[\"announce\",3,\"stale_copy\",41,0]\n[\"end\"]\n";
    private static final String REQUEST_BATCH =
            "[\"turn\",8.6]\n" + "[\"order\",3,1564119492,1,\"r\",null,4,null,null,0.24,null]\n[\"end\"]\n";

    private static String run(String input) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorSession(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), out).run();
        return out.toString(StandardCharsets.UTF_8);
    }

    @Test
    void emptyBatchGetsEmptyReply() throws IOException {
        assertEquals("[\"next\"]\n", run("[\"turn\",8.41225]\n[\"end\"]\n"));
    }

    @Test
    void emptyInputEndsSession() throws IOException {
        assertEquals("", run(""));
    }

    @Test
    void requestIsSentToHostAndItsResultIsAccepted() throws IOException {
        String reply = run(START_BATCH + REQUEST_BATCH + "[\"turn\",8.7]\n"
                + "[\"result\",3,1564119492,0,\"h1\",\"pass\",0.0185,true,25486,null]\n[\"end\"]\n");
        assertTrue(reply.contains("[\"handOff\",3,1564119492,\"h"), reply);
        assertEquals(3, reply.lines().filter(l -> l.equals("[\"next\"]")).count());
    }

    @Test
    void crashedInstanceTakesNoFurtherActions() throws IOException {
        String reply = run(START_BATCH + REQUEST_BATCH + "[\"turn\",9]\n[\"crashNow\",3]\n[\"end\"]\n"
                + "[\"turn\",9.1]\n[\"end\"]\n");
        assertTrue(reply.endsWith("[\"next\"]\n[\"next\"]\n"), reply);
    }

    @Test
    void malformedInputIsRejected() {
        assertThrows(SimulatorProtocolException.class, () -> run("[\"turn\",8]\n[\"nonsense\",1]\n[\"end\"]\n"));
        assertThrows(SimulatorProtocolException.class, () -> run("[\"turn\",8]\n"));
        assertThrows(SimulatorProtocolException.class, () -> run("[\"end\"]\n"));
        assertThrows(SimulatorProtocolException.class, () -> run("{}\n"));
        assertThrows(SimulatorProtocolException.class, () -> run("[\"turn\",8]\n[\"hangup\",5,1]\n[\"end\"]\n"));
        assertThrows(JsonProcessingException.class, () -> run("[\"turn\",8]\n[\"end\"\n"));
        assertThrows(JsonProcessingException.class, () -> run("hello\n"));
        assertThrows(
                SimulatorProtocolException.class, () -> run(START_BATCH + REQUEST_BATCH.replace("\"r\"", "\"other\"")));
    }

    @Test
    void goneIsAdviceMustBeBooleanIfPresent() throws IOException {
        run(START_BATCH.replace("\"coldFrom\":0.2", "\"coldFrom\":0.2,\"goneIsAdvice\":true"));
        run(START_BATCH);
        SimulatorProtocolException error = assertThrows(
                SimulatorProtocolException.class,
                () -> run(START_BATCH.replace("\"coldFrom\":0.2", "\"coldFrom\":0.2,\"goneIsAdvice\":1")));
        assertTrue(error.getMessage().contains("goneIsAdvice"), error.getMessage());
    }
}
