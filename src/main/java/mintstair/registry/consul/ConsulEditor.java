package mintstair.registry.consul;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.function.UnaryOperator;
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryEditor;
import mintstair.registry.RegistryException;
import mintstair.registry.RegistryUnavailableException;
import mintstair.registry.UncertainChangeException;
import mintstair.registry.view.RegistryEntry;

/**
 * Reads and changes single entries of Consul's key-value store. The servers are tried in turn; a change is sent to the
 * next server only if no connection to the previous one could be opened, so that it cannot have made the change.
 */
public final class ConsulEditor implements RegistryEditor {
    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final long MAX_BODY_BYTES = 4 << 20;

    private final RegistryConfig config;
    private final HttpClient client;

    /**
     * Creates the editor and reads the configured TLS files; connections are opened by calls.
     *
     * @throws mintstair.config.ConfigException if a TLS file is not usable
     */
    public ConsulEditor(RegistryConfig config) {
        this.config = config;
        client = ConsulApi.newClient(config);
    }

    @Override
    public RegistryEntry get(String key) throws RegistryException {
        HttpResponse<byte[]> response = sendInTurn(key, "?consistent", HttpRequest.Builder::GET, false);
        if (response.statusCode() == ConsulApi.NOT_FOUND) {
            return null;
        }
        byte[] body = requireOk(response).body();
        try {
            List<RegistryEntry> entries = ConsulApi.parseEntries(body);
            return entries.isEmpty() ? null : entries.get(0);
        } catch (IOException e) {
            throw new RegistryException(e.getMessage(), e);
        }
    }

    @Override
    public boolean put(String key, byte[] value, long expectedRevision) throws RegistryException {
        HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofByteArray(value);
        return isChanged(sendInTurn(key, compareAndSet(expectedRevision), request -> request.PUT(body), true));
    }

    @Override
    public boolean delete(String key, long expectedRevision) throws RegistryException {
        return isChanged(sendInTurn(key, compareAndSet(expectedRevision), HttpRequest.Builder::DELETE, true));
    }

    private static String compareAndSet(long expectedRevision) {
        return "?cas=" + expectedRevision;
    }

    private static boolean isChanged(HttpResponse<byte[]> response) throws RegistryException {
        return new String(requireOk(response).body(), StandardCharsets.UTF_8)
                .strip()
                .equals("true");
    }

    private static HttpResponse<byte[]> requireOk(HttpResponse<byte[]> response) throws RegistryException {
        if (response.statusCode() != ConsulApi.OK) {
            throw new RegistryException(ConsulApi.describeError(response));
        }
        return response;
    }

    /**
     * Sends the request to the servers in turn and returns the first response, whatever its status.
     *
     * @param isChange whether the request changes the registry, so that it must not be repeated once it was sent
     * @throws UncertainChangeException if a change may have been made
     * @throws RegistryUnavailableException if no server responds
     */
    private HttpResponse<byte[]> sendInTurn(
            String key, String query, UnaryOperator<HttpRequest.Builder> method, boolean isChange)
            throws RegistryException {
        String reason = "";
        IOException lastFailure = null;
        for (InetSocketAddress server : config.endpoints()) {
            HttpRequest.Builder request = ConsulApi.request(config, server, ConsulApi.keyPath(key), query);
            try {
                return client.send(
                        method.apply(request).timeout(TIMEOUT).build(), BoundedBodySubscriber.handler(MAX_BODY_BYTES));
            } catch (ConnectException e) {
                reason = "refused";
                lastFailure = e;
            } catch (IOException e) {
                reason = String.valueOf(e.getMessage());
                lastFailure = e;
                if (isChange) {
                    throw new UncertainChangeException(reason, e);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new RegistryException("interrupted", e);
            }
        }
        throw new RegistryUnavailableException(reason, lastFailure);
    }

    @Override
    public void close() {
        // The HTTP client of Java 17 has no close method; its threads are daemons.
    }
}
