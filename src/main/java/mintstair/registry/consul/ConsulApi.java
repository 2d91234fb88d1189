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
import java.util.Locale;
import java.util.Map;
import mintstair.config.FirstLine;
import mintstair.config.Json;
import mintstair.config.RegistryConfig;
import mintstair.registry.TlsFiles;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryEvent.Reason;

/** Builds requests to and parses responses of the parts of Consul's HTTP API that the registry client uses. */
final class ConsulApi {
    static final int OK = 200;
    static final int NOT_FOUND = 404;
    static final String LEADER_PATH = "/v1/status/leader";
    static final String INDEX_HEADER = "X-Consul-Index";
    static final String KNOWN_LEADER_HEADER = "X-Consul-KnownLeader";
    /** The header with the milliseconds since the server's last contact with the leader. */
    static final String LAST_CONTACT_HEADER = "X-Consul-LastContact";

    private static final String TOKEN_HEADER = "X-Consul-Token";
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int SERVER_ERROR = 500;
    private static final int MAX_ERROR_TEXT_BYTES = 200;

    private ConsulApi() {}

    /**
     * Creates an HTTP client and reads the configured TLS files.
     *
     * @throws mintstair.config.ConfigException if a TLS file is not usable
     */
    static HttpClient newClient(RegistryConfig config) {
        HttpClient.Builder builder = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1);
        if (config.tls() != null) {
            builder.sslContext(new TlsFiles(config.tls()).sslContext());
        }
        return builder.build();
    }

    /**
     * Returns a builder of a request to one server, with the access token if one is configured.
     *
     * @param query the query string with its question mark, or empty
     */
    static HttpRequest.Builder request(RegistryConfig config, InetSocketAddress server, String path, String query) {
        String scheme = config.tls() == null ? "http" : "https";
        URI uri = URI.create(scheme + "://" + server.getHostString() + ":" + server.getPort() + path + query);
        HttpRequest.Builder request = HttpRequest.newBuilder(uri);
        return config.secret() == null ? request : request.header(TOKEN_HEADER, config.secret());
    }

    /** Returns the path of a key; each character of the string stands for one byte of the key. */
    static String keyPath(String key) {
        StringBuilder path = new StringBuilder("/v1/kv");
        for (String segment : key.split("/", -1)) {
            String encoded = URLEncoder.encode(segment, StandardCharsets.ISO_8859_1);
            path.append('/').append(encoded.replace("+", "%20"));
        }
        return path.toString();
    }

    /**
     * Parses the entries in a response of the key-value store.
     *
     * @throws IOException if the body is not JSON
     * @throws IllegalArgumentException if the body is JSON, but not a list of entries
     */
    static List<RegistryEntry> parseEntries(byte[] body) throws IOException {
        if (!(Json.read(body) instanceof List<?> list)) {
            throw new IllegalArgumentException("no list of entries");
        }
        List<RegistryEntry> entries = new ArrayList<>(list.size());
        for (Object element : list) {
            entries.add(parseEntry(element));
        }
        return entries;
    }

    private static RegistryEntry parseEntry(Object element) {
        if (element instanceof Map<?, ?> fields
                && fields.get("Key") instanceof String key
                && fields.get("CreateIndex") instanceof Number createIndex
                && fields.get("ModifyIndex") instanceof Number modifyIndex) {
            String keyBytes = new String(key.getBytes(StandardCharsets.UTF_8), StandardCharsets.ISO_8859_1);
            byte[] value = fields.get("Value") instanceof String base64
                    ? Base64.getDecoder().decode(base64)
                    : new byte[0];
            return new RegistryEntry(keyBytes, value, createIndex.longValue(), modifyIndex.longValue());
        }
        throw new IllegalArgumentException("an entry without Key, CreateIndex or ModifyIndex");
    }

    /** Returns the event for a response with an error status. */
    static RegistryEvent.CallFailed failure(long callId, HttpResponse<byte[]> response) {
        String text = errorText(response.body());
        return new RegistryEvent.CallFailed(
                callId, reasonOf(response.statusCode(), text), describe(response.statusCode(), text));
    }

    /** Returns the error status and the first line of the body. */
    static String describeError(HttpResponse<byte[]> response) {
        return describe(response.statusCode(), errorText(response.body()));
    }

    private static String describe(int status, String text) {
        return "status " + status + " " + text;
    }

    private static String errorText(byte[] body) {
        int length = Math.min(body.length, MAX_ERROR_TEXT_BYTES);
        return FirstLine.of(new String(body, 0, length, StandardCharsets.UTF_8));
    }

    private static Reason reasonOf(int status, String text) {
        if (status == FORBIDDEN || status == UNAUTHORIZED) {
            return Reason.DENIED;
        }
        if (status >= SERVER_ERROR && text.toLowerCase(Locale.ROOT).contains("leader")) {
            return Reason.NO_LEADER;
        }
        if (status == TOO_MANY_REQUESTS || status >= SERVER_ERROR) {
            return Reason.BUSY;
        }
        return Reason.MALFORMED;
    }

    /** Returns the number in a header; -1 if the header is missing or not a number. */
    static long numberHeader(HttpResponse<?> response, String name) {
        try {
            return response.headers().firstValue(name).map(Long::parseLong).orElse(-1L);
        } catch (NumberFormatException e) {
            return -1;
        }
    }
}
