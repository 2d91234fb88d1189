package mintstair.traffic;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import mintstair.config.Json;

/** An exchange as a line of JSON: times in Unix milliseconds with fractions, digests in hexadecimal; what is not there is left out. */
final class ExchangeLine {
    private static final double NANOS_A_MILLI = 1e6;

    private ExchangeLine() {}

    static String of(RecordedExchange e) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("connection", e.connection());
        line.put("asked_ms", e.asked() / NANOS_A_MILLI);
        line.put("id", e.id());
        line.put("class", e.requestClass());
        line.put("cluster", e.cluster());
        put(line, "session", e.session());
        line.put("write", e.write());
        put(line, "retry", e.retry() ? true : null);
        put(line, "deadline_ms", e.deadlineMillis() > 0 ? e.deadlineMillis() : null);
        put(line, "after_ms", e.afterMillis() >= 0 ? e.afterMillis() : null);
        line.put("result", e.result().name().toLowerCase(Locale.ROOT));
        put(line, "latency_ms", e.answered() > 0 ? (e.answered() - e.asked()) / NANOS_A_MILLI : null);
        put(line, "come_back_ms", e.retryAfterMillis() > 0 ? e.retryAfterMillis() : null);
        put(line, "digest", e.digest() != 0 ? Long.toHexString(e.digest()) : null);
        try {
            return Json.write(line);
        } catch (IOException impossible) {
            throw new UncheckedIOException(impossible);
        }
    }

    private static void put(Map<String, Object> line, String name, Object value) {
        if (value != null) {
            line.put(name, value);
        }
    }
}
