package mintstair.traffic;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import mintstair.config.Json;

/**
 * Writes an exchange as one line of JSON: times in Unix milliseconds with fractions, digests in hexadecimal; fields
 * without a value are left out. Other programs read the names.
 */
final class ExchangeJson {
    private static final double NANOS_PER_MILLI = 1e6;

    private ExchangeJson() {}

    static String write(RecordedExchange exchange) {
        Map<String, Object> line = new LinkedHashMap<>();
        line.put("connection", exchange.connection());
        line.put("asked_ms", exchange.requestNanos() / NANOS_PER_MILLI);
        line.put("id", exchange.id());
        line.put("class", exchange.requestClass());
        line.put("cluster", exchange.replicaSet());
        if (exchange.session() != null) {
            line.put("session", exchange.session());
        }
        line.put("write", exchange.write());
        if (exchange.retry()) {
            line.put("retry", true);
        }
        if (exchange.timeoutMillis() > 0) {
            line.put("deadline_ms", exchange.timeoutMillis());
        }
        if (exchange.minimumPositionMillis() >= 0) {
            line.put("after_ms", exchange.minimumPositionMillis());
        }
        line.put("result", exchange.result().name().toLowerCase(Locale.ROOT));
        if (exchange.responseNanos() > 0) {
            line.put("latency_ms", exchange.latencyNanos() / NANOS_PER_MILLI);
        }
        if (exchange.retryAfterMillis() > 0) {
            line.put("come_back_ms", exchange.retryAfterMillis());
        }
        if (exchange.digest() != 0) {
            line.put("digest", Long.toHexString(exchange.digest()));
        }
        try {
            return Json.write(line);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory can't fail", e);
        }
    }
}
