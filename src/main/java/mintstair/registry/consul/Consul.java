package mintstair.registry.consul;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.URLEncoder;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import mintstair.config.Json;
import mintstair.config.RegistryConfig;
import mintstair.registry.TlsFiles;
import mintstair.registry.view.Event;
import mintstair.registry.view.Item;

/** Consul's HTTP API as far as it is used: its key-value store and its status. Source: the API's published documentation. */
final class Consul {
    private Consul() {}

    /** A client whose callbacks run on {@code executor}, or on threads of its own for null. */
    static HttpClient client(RegistryConfig config, Executor executor) {
        HttpClient.Builder builder = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1);
        if (executor != null) {
            builder.executor(executor);
        }
        if (config.tls() != null) {
            builder.sslContext(new TlsFiles(config.tls()).context());
        }
        return builder.build();
    }

    /** A call of one endpoint; {@code query} is empty or begins with a question mark. */
    static HttpRequest.Builder call(RegistryConfig config, InetSocketAddress endpoint, String path, String query) {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create((config.tls() == null ? "http" : "https")
                + "://" + endpoint.getHostString() + ":" + endpoint.getPort() + path + query));
        return config.secret() == null ? request : request.header("X-Consul-Token", config.secret());
    }

    /** The path of a key, whose bytes are given as characters. */
    static String key(String key) {
        StringBuilder path = new StringBuilder("/v1/kv");
        for (String part : key.split("/", -1)) {
            path.append('/')
                    .append(URLEncoder.encode(part, StandardCharsets.ISO_8859_1).replace("+", "%20"));
        }
        return path.toString();
    }

    /** The entries of an answer; throws {@link IllegalArgumentException} where it is none. */
    static List<Item> items(byte[] body) throws IOException {
        if (!(Json.read(body) instanceof List<?> list)) {
            throw new IllegalArgumentException("no list of entries");
        }
        List<Item> items = new ArrayList<>(list.size());
        for (Object each : list) {
            if (!(each instanceof Map<?, ?> m)
                    || !(m.get("Key") instanceof String key)
                    || !(m.get("CreateIndex") instanceof Number created)
                    || !(m.get("ModifyIndex") instanceof Number modified)) {
                throw new IllegalArgumentException("an entry without Key, CreateIndex or ModifyIndex");
            }
            byte[] value =
                    m.get("Value") instanceof String text ? Base64.getDecoder().decode(text) : new byte[0];
            items.add(new Item(
                    new String(key.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1),
                    value,
                    created.longValue(),
                    modified.longValue()));
        }
        return items;
    }

    /** What an answer that is none of a list means. */
    static Event.Ended refused(long call, int status, byte[] body) {
        String text = new String(body, 0, Math.min(body.length, 200), StandardCharsets.UTF_8).split("\n")[0];
        Event.Reason reason = status == 403 || status == 401
                ? Event.Reason.DENIED
                : status >= 500 && text.toLowerCase(java.util.Locale.ROOT).contains("leader")
                        ? Event.Reason.NO_LEADER
                        : status == 429 || status >= 500 ? Event.Reason.BUSY : Event.Reason.MALFORMED;
        return new Event.Ended(call, reason, "status " + status + " " + text);
    }

    /** A number from a header, -1 where there is none. */
    static long number(HttpResponse<?> answer, String name) {
        try {
            return answer.headers().firstValue(name).map(Long::parseLong).orElse(-1L);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
