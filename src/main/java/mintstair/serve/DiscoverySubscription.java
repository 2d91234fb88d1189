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
 * One protocol's subscription to the endpoint lists of a discovery service, whose address a reload may change. The
 * previous service is watched until the new one has sent a list, so that no draining host is missed while the new one
 * cannot be reached. Confined to the event loop.
 */
final class DiscoverySubscription {
    /** The revision of a watch that asks for the whole list first. */
    private static final long NO_REVISION = -1;

    private final EventLoop loop;
    private final TCPNIOTransport transport;
    private final Random random;
    private final Counters counters;
    private final Consumer<EndpointList> listener;
    private InstanceSettings settings;
    private InetSocketAddress address;
    private EndpointWatch current;
    /** Whether the current watch has sent a list or changes. */
    private boolean currentHasReported;
    /** The last watch that has, of another address; null once the current one has too. */
    private EndpointWatch previous;
    /** Distinguishes the current watch from earlier ones. */
    private int generation;
    /** Entries of the last snapshot: a measure of what a call costs the service. */
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

    /** Begins to watch the service; {@code known} is the list known before, whose changes suffice, or null. */
    void start(InetSocketAddress service, EndpointList known) {
        address = service;
        listSize = known == null ? 0 : known.entries().size();
        watch(known == null ? NO_REVISION : known.revision());
    }

    /** Changes over to this service, unless it is watched already. */
    void changeTo(InetSocketAddress service) {
        if (service.equals(address)) {
            return;
        }
        address = service;
        if (current != null && currentHasReported) {
            previous = current;
        } else if (current != null) {
            current.close();
        }
        // Revisions of different services cannot be compared. All proxies reload together, so failed calls
        // are paced as usual.
        watch(NO_REVISION);
    }

    private void watch(long revision) {
        generation++;
        int watchGeneration = generation;
        current = new EndpointWatch(
                loop, transport, address, revision, pacing(), counters, list -> onList(watchGeneration, list));
        currentHasReported = false;
        current.start();
    }

    private void onList(int watchGeneration, EndpointList list) {
        if (watchGeneration == generation) {
            currentHasReported = true;
            endPrevious();
        }
        if (list.isSnapshot()) {
            listSize = list.entries().size();
        }
        listener.accept(list);
    }

    private void endPrevious() {
        if (previous != null) {
            previous.close();
            previous = null;
        }
    }

    /** Paces the calls by these settings from now on. */
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
