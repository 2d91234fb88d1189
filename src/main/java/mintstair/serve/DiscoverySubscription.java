package mintstair.serve;

import java.net.InetSocketAddress;
import java.util.Random;
import java.util.function.Consumer;
import mintstair.config.InstanceSettings;
import mintstair.discovery.EndpointWatch;
import mintstair.discovery.pace.WatchPacing;
import mintstair.proxy.EventLoop;
import mintstair.request.EndpointList;
import mintstair.stats.Counters;
import org.glassfish.grizzly.nio.transport.TCPNIOTransport;

/**
 * Subscribes one protocol's service to the endpoint lists of a discovery service, whose address a reload may change.
 * After such a change the previous discovery service is still watched until the new one has sent a list, so that
 * draining hosts are noticed while the new one is unreachable. Confined to the event loop.
 */
final class DiscoverySubscription {
    /** The revision with which a watch requests a snapshot first. */
    private static final long NO_REVISION = -1;

    private final EventLoop loop;
    private final TCPNIOTransport transport;
    private final Random random;
    private final Counters counters;
    private final Consumer<EndpointList> listener;
    private InstanceSettings settings;
    private InetSocketAddress address;
    private EndpointWatch current;
    /** Whether the current watch has received a snapshot or a delta. */
    private boolean hasCurrentReported;
    /** The last watch of another address that has received a list; null once the current watch has received one. */
    private EndpointWatch previous;
    /** Incremented for each new watch; identifies lists of the current one. */
    private int generation;
    /** The number of entries of the last snapshot; calls to a shared service are paced by what they cost it. */
    private int listSize;

    DiscoverySubscription(
            EventLoop loop,
            TCPNIOTransport transport,
            Random random,
            Counters counters,
            InstanceSettings settings,
            Consumer<EndpointList> listener) {
        this.loop = loop;
        this.transport = transport;
        this.random = random;
        this.counters = counters;
        this.settings = settings;
        this.listener = listener;
    }

    /** Starts to watch the service. Requests only changes to {@code known}, or a snapshot if that is null. */
    void start(InetSocketAddress service, EndpointList known) {
        address = service;
        listSize = known == null ? 0 : known.entries().size();
        watch(known == null ? NO_REVISION : known.revision());
    }

    /** Watches this service instead of the current one; does nothing if it is the current one. */
    void changeTo(InetSocketAddress service) {
        if (service.equals(address)) {
            return;
        }
        address = service;
        if (current != null && hasCurrentReported) {
            previous = current;
        } else if (current != null) {
            current.close();
        }
        // Revisions of different services cannot be compared. The calls are paced as usual, because all proxies of the
        // fleet may reload at the same time.
        watch(NO_REVISION);
    }

    private void watch(long revision) {
        generation++;
        int watchGeneration = generation;
        current = new EndpointWatch(
                loop, transport, address, revision, pacing(), counters, list -> onList(watchGeneration, list));
        hasCurrentReported = false;
        current.start();
    }

    private void onList(int watchGeneration, EndpointList list) {
        if (watchGeneration == generation) {
            hasCurrentReported = true;
            closePrevious();
        }
        if (list.isSnapshot()) {
            listSize = list.entries().size();
        }
        listener.accept(list);
    }

    private void closePrevious() {
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    /** Applies these settings to the pacing of all calls, including those in flight. */
    void applySettings(InstanceSettings changed) {
        settings = changed;
        if (current != null) {
            current.setPacing(pacing());
        }
        if (previous != null) {
            previous.setPacing(pacing());
        }
    }

    private WatchPacing pacing() {
        return settings.listPushed
                ? WatchPacing.forLocalAgent(settings.drainGraceMicros, random)
                : WatchPacing.forSharedService(settings.fleetSize, listSize, random);
    }
}
