package mintstair.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import mintstair.request.EndpointList;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class EndpointListReaderTest {
    private static final String ENTRY = "{\"uid\":\"h1\",\"endpoint\":\"127.0.0.1:5432\",\"az\":\"a\",\"pod_group\":2,"
            + "\"state\":\"SERVING\",\"rank\":\"source\",\"capacity_hint\":1.5,\"boot_ms\":6100}";

    private static EndpointList read(String entry) throws IOException {
        String list = "{\"rev\":7,\"all\":true,\"targets\":[" + entry + "]}";
        return EndpointListReader.read(Json.read(list.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void readReturnsAllFieldsOfAnEntry() throws IOException {
        EndpointList list = read(ENTRY);

        assertEquals(7, list.revision());
        assertTrue(list.isSnapshot());
        EndpointList.Entry expected = new EndpointList.Entry(
                "h1", "127.0.0.1:5432", "a", 2, EndpointList.State.SERVING, true, 1.5, 6_100_000);
        assertEquals(expected, list.entries().get(0));
    }

    /** The names of the states are defined by the platform and do not follow renames in the code. */
    @ParameterizedTest
    @CsvSource({"SERVING, SERVING", "DRAINING, DRAINING", "DELETED, REMOVED"})
    void platformStateNamesAreTranslated(String name, EndpointList.State state) throws IOException {
        EndpointList list = read(ENTRY.replace("SERVING", name));

        assertEquals(state, list.entries().get(0).state());
    }

    @Test
    void unknownStateIsReported() {
        EndpointListException error =
                assertThrows(EndpointListException.class, () -> read(ENTRY.replace("SERVING", "REMOVED")));

        assertEquals("unknown host state: REMOVED", error.getMessage());
    }

    /** An entry with an invalid port must not invalidate the other entries of its list. */
    @Test
    void hostWithPortOutOfRangeIsRemoved() throws IOException {
        EndpointList list = read(ENTRY.replace("5432", "99999"));

        assertEquals(EndpointList.State.REMOVED, list.entries().get(0).state());
    }

    @ParameterizedTest
    @CsvSource({"uid", "endpoint", "az"})
    void entryWithoutRequiredKeyIsRejected(String key) {
        String entry = ENTRY.replace("\"" + key + "\"", "\"other\"");

        EndpointListException error = assertThrows(EndpointListException.class, () -> read(entry));

        assertEquals("host entry has no " + key, error.getMessage());
    }
}
