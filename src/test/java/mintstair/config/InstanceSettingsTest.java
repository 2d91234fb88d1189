package mintstair.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import mintstair.decision.Consistency;
import mintstair.decision.DeduplicationScope;
import mintstair.decision.Idempotency;
import mintstair.decision.RequestClass;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests the translation of the platform's keys and values into the terms of the code. */
class InstanceSettingsTest {
    private static final String CLASSES = "{\"classes\":["
            + "{\"name\":\"read\",\"repeat\":\"idempotent\",\"sloS\":0.6,\"deadlineS\":2.5,\"worth\":2},"
            + "{\"name\":\"write\",\"repeat\":\"deduplicated\",\"group\":\"cell\",\"windowS\":30,\"lateValue\":0.3}],"
            + "\"familyInfo\":{\"consistency\":[\"bounded\",\"write\"],\"classBoundS\":[0.2]}}";

    private static InstanceSettings settings(String json) throws IOException {
        return new InstanceSettings((Map<?, ?>) Json.read(json.getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void classesHaveConsistencyAndStalenessOfTheirIndex() throws IOException {
        InstanceSettings settings = settings(CLASSES);

        RequestClass read = new RequestClass(
                "read",
                Consistency.BOUNDED_STALENESS,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                200_000,
                600_000,
                2_500_000,
                0,
                2,
                0);
        RequestClass write = new RequestClass(
                "write",
                Consistency.WRITE,
                Idempotency.IDEMPOTENCY_KEY,
                DeduplicationScope.GROUP,
                0,
                1_000_000,
                1_000_000,
                30_000_000,
                1,
                0.3);
        assertEquals(List.of(read, write), settings.routerSettings.classes());
        assertEquals(Map.of("read", 0, "write", 1), settings.classIndexes);
        assertEquals(2_500_000, settings.longestDeadlineMicros());
    }

    @Test
    void missingKeysHaveDefaults() throws IOException {
        InstanceSettings settings = settings("{}");

        assertEquals(1, settings.fleetSize);
        assertFalse(settings.listPushed);
        assertEquals(0, settings.drainGraceMicros);
        assertEquals(15_000_000, settings.connectionIdleMicros);
        assertEquals(250_000, settings.connectTimeoutMicros);
        assertEquals(0, settings.longestDeadlineMicros());
    }

    @Test
    void valuesAreReadAndTimesConvertedToMicroseconds() throws IOException {
        InstanceSettings settings = settings("{\"balancers\":14,\"discovery\":\"automatic\","
                + "\"tenants\":[{\"name\":\"t\",\"quotaRps\":10}],\"familyInfo\":{\"positionZeroS\":2},"
                + "\"report\":{\"fields\":[\"x0\",\"x1\"]},\"invariants\":{\"drainGraceS\":1.5},"
                + "\"limits\":{\"connIdleS\":3,\"connectTimeoutS\":0.5}}");

        assertEquals(14, settings.fleetSize);
        assertTrue(settings.listPushed);
        assertEquals(Map.of("t", 0), settings.tenantIndexes);
        assertEquals(2_000_000, settings.positionZeroMicros);
        assertEquals(List.of("x0", "x1"), settings.reportFields);
        assertEquals(1_500_000, settings.drainGraceMicros);
        assertEquals(3_000_000, settings.connectionIdleMicros);
        assertEquals(500_000, settings.connectTimeoutMicros);
    }

    @ParameterizedTest
    @CsvSource({
        "idempotent, never, unknown repeat never",
        "cell, rack, unknown group rack",
        "bounded, old, unknown consistency old"
    })
    void unknownValueIsReported(String value, String unknown, String message) {
        String json = CLASSES.replace("\"" + value + "\"", "\"" + unknown + "\"");

        ConfigException error = assertThrows(ConfigException.class, () -> settings(json));

        assertEquals(message, error.getMessage());
    }

    @Test
    void removalIsAdvisoryMustBeABoolean() {
        ConfigException error =
                assertThrows(ConfigException.class, () -> settings("{\"invariants\":{\"goneIsAdvice\":1}}"));

        assertEquals("goneIsAdvice must be true or false", error.getMessage());
    }
}
