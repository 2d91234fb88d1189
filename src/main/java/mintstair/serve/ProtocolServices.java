package mintstair.serve;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import mintstair.config.RegistryConfig;
import mintstair.proxy.EventLoop;
import mintstair.registry.view.ViewUpdate;
import mintstair.request.EndpointList;
import mintstair.stats.Counters;

/** The services of one process: PostgreSQL always, and MongoDB if the operator has configured it. Immutable. */
final class ProtocolServices {
    private final EventLoop loop;
    private final ProtocolService postgresql;
    private final ProtocolService mongodb;
    private final List<ProtocolService> all;

    /** {@code mongodb} is null if it is not configured. */
    ProtocolServices(EventLoop loop, ProtocolService postgresql, ProtocolService mongodb) {
        this.loop = loop;
        this.postgresql = postgresql;
        this.mongodb = mongodb;
        all = mongodb == null ? List.of(postgresql) : List.of(postgresql, mongodb);
    }

    ProtocolService postgresql() {
        return postgresql;
    }

    /** Returns the service of MongoDB; null if it is not configured. */
    ProtocolService mongodb() {
        return mongodb;
    }

    List<ProtocolService> all() {
        return all;
    }

    void forEach(Consumer<ProtocolService> action) {
        all.forEach(action);
    }

    /** Returns the counters of reloads, which are reported with those of PostgreSQL. */
    Counters reloadCounters() {
        return postgresql.counters;
    }

    /** Applies a list from the registry to the service of the front that it names. Must be called on the loop. */
    void onRegistryEndpoints(ViewUpdate.Endpoints update) {
        ProtocolService service = update.front().equals(RegistryConfig.MONGODB) ? mongodb : postgresql;
        service.onEndpoints(update.list(), update.cached());
    }

    /** Replaces the operator's list of MongoDB hosts by the one from the store. May be called on any thread. */
    void onStoreEndpoints(EndpointList list) {
        if (mongodb != null) {
            loop.execute(() -> mongodb.onStoreEndpoints(list));
        }
    }

    /** Returns the counters of all services in one line; blocks until the loop has read them. */
    String awaitCounters() {
        CompletableFuture<String> counters = new CompletableFuture<>();
        loop.execute(() -> counters.complete(
                all.stream().map(service -> service.counters.toString()).collect(Collectors.joining("; "))));
        return counters.join();
    }
}
