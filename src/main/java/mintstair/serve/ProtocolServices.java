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

/** The services of one process: PostgreSQL's always, MongoDB's where the operator set it up. Immutable. */
final class ProtocolServices {
    private final EventLoop loop;
    private final ProtocolService postgresql;
    private final ProtocolService mongodb;
    private final List<ProtocolService> all;

    /** {@code mongodb} is null where it is not set up. */
    ProtocolServices(EventLoop loop, ProtocolService postgresql, ProtocolService mongodb) {
        this.loop = loop;
        this.postgresql = postgresql;
        this.mongodb = mongodb;
        all = mongodb == null ? List.of(postgresql) : List.of(postgresql, mongodb);
    }

    ProtocolService postgresql() {
        return postgresql;
    }

    /** MongoDB's service; null where it is not set up. */
    ProtocolService mongodb() {
        return mongodb;
    }

    List<ProtocolService> all() {
        return all;
    }

    void forEach(Consumer<ProtocolService> action) {
        all.forEach(action);
    }

    /** The counters of reloads, which are reported with the first protocol's. */
    Counters reloadCounters() {
        return postgresql.counters;
    }

    /** Applies a list of the registry to the front that it names; on the loop. */
    void onRegistryEndpoints(ViewUpdate.Endpoints update) {
        ProtocolService service = update.front().equals(RegistryConfig.MONGODB) ? mongodb : postgresql;
        service.onEndpoints(update.list(), update.cached());
    }

    /** Applies the store's list of MongoDB hosts in place of the operator's; on any thread. */
    void onStoreEndpoints(EndpointList list) {
        if (mongodb != null) {
            loop.execute(() -> mongodb.onOtherEndpoints(list));
        }
    }

    /** The counters of all services on one line; blocks until the loop has read them. */
    String awaitCounters() {
        CompletableFuture<String> counters = new CompletableFuture<>();
        loop.execute(() -> counters.complete(
                all.stream().map(service -> service.counters.toString()).collect(Collectors.joining("; "))));
        return counters.join();
    }
}
