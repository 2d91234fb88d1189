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
import mintstair.config.RegistryConfig;
import mintstair.registry.RegistryEditor;
import mintstair.registry.view.Item;

/** Single entries of Consul's store; the endpoints are tried in turn, a change only as long as it provably was not made. */
public final class ConsulEditor implements RegistryEditor {
    private static final Duration WAIT = Duration.ofSeconds(3);
    private static final long MOST_BODY = 4 << 20;
    private final RegistryConfig config;
    private final HttpClient client;

    public ConsulEditor(RegistryConfig config) {
        this.config = config;
        client = Consul.client(config, null);
    }

    @Override
    public Item get(String key) throws IOException {
        HttpResponse<byte[]> answer = ask(key, "?consistent", HttpRequest.Builder::GET, false);
        if (answer.statusCode() == 404) {
            return null;
        }
        List<Item> items = Consul.items(whole(answer).body());
        return items.isEmpty() ? null : items.get(0);
    }

    @Override
    public boolean put(String key, byte[] value, long expected) throws IOException {
        return changed(ask(key, "?cas=" + expected, r -> r.PUT(HttpRequest.BodyPublishers.ofByteArray(value)), true));
    }

    @Override
    public boolean delete(String key, long expected) throws IOException {
        return changed(ask(key, "?cas=" + expected, HttpRequest.Builder::DELETE, true));
    }

    private static boolean changed(HttpResponse<byte[]> answer) throws IOException {
        return new String(whole(answer).body(), StandardCharsets.UTF_8).strip().equals("true");
    }

    private static HttpResponse<byte[]> whole(HttpResponse<byte[]> answer) throws IOException {
        if (answer.statusCode() != 200) {
            throw new IOException(
                    Consul.refused(0, answer.statusCode(), answer.body()).why());
        }
        return answer;
    }

    private interface Method {
        HttpRequest.Builder of(HttpRequest.Builder request);
    }

    private HttpResponse<byte[]> ask(String key, String query, Method method, boolean changes) throws IOException {
        String why = "";
        for (InetSocketAddress each : config.endpoints()) {
            try {
                return client.send(
                        method.of(Consul.call(config, each, Consul.key(key), query))
                                .timeout(WAIT)
                                .build(),
                        info -> new BoundedBody(MOST_BODY));
            } catch (ConnectException e) {
                why = "refused";
            } catch (IOException e) {
                why = String.valueOf(e.getMessage());
                if (changes) {
                    throw new IOException("the change may have been made, look before it is tried again: " + why);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                throw new IOException("interrupted");
            }
        }
        throw new IOException("no endpoint answers: " + why);
    }

    @Override
    public void close() {
        // The client has nothing to close in Java 17; its threads are daemons.
    }
}
