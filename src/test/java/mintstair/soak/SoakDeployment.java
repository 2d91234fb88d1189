package mintstair.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import mintstair.standin.Discovery;
import mintstair.standin.StandInHost;
import mintstair.standin.TcpRelay;

/**
 * Proxies as processes, hosts, discovery and clients of one play, and what can be done to them. Safe for use by
 * several threads.
 */
final class SoakDeployment implements AutoCloseable {
    private static final long SETTLE_MILLIS = 3_000;
    private static final long JOIN_MILLIS = 30_000;

    final Ledger ledger = new Ledger();
    final SoakOptions options;
    final List<SoakProxy> proxies = new ArrayList<>();
    final TcpRelay agent;
    final TcpRelay otherAgent;
    /** Until when clients ask, on the ledger's clock. */
    final long until;

    private final List<SoakHost> hosts = new CopyOnWriteArrayList<>();
    private final List<Thread> clients = new ArrayList<>();
    private final Discovery discovery;
    private final Random random;
    private int made;
    /** What clients' rests are divided by. */
    volatile int haste = 1;

    SoakDeployment(long seed, SoakOptions options, Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        this.options = options;
        random = new Random(seed);
        for (int group = 0; group < options.groups(); group++) {
            for (int i = 0; i <= options.replicas(); i++) {
                addHost(group, i == 0, new SoakHost.Start(true));
            }
        }
        discovery = new Discovery(listed());
        agent = new TcpRelay(discovery.port());
        otherAgent = new TcpRelay(discovery.port());
        for (int i = 0; i < options.proxies(); i++) {
            SoakProxy proxy = new SoakProxy(i, options.proxies(), folder, ledger);
            proxies.add(proxy);
            proxy.configure(agent.port(), listed());
            proxy.start();
        }
        for (SoakProxy proxy : proxies) {
            proxy.awaitReady();
        }
        StandInHost.daemon(new MachineWatch(ledger));
        until = Ledger.now() + options.millis();
        startClients(seed);
    }

    private void startClients(long seed) {
        for (SoakProxy proxy : proxies) {
            for (int i = 0; i < options.clientsEach(); i++) {
                String prefix = "s" + seed + "p" + proxy.number + "c" + i;
                SoakClient client = new SoakClient(this, proxy, seed * 31 + proxy.number * 7L + i, prefix);
                Thread thread = new Thread(client, "client");
                thread.setDaemon(true);
                clients.add(thread);
                thread.start();
            }
        }
    }

    private SoakHost addHost(int group, boolean primary, SoakHost.Start start) throws IOException {
        SoakHost host =
                new SoakHost("h" + made++, group, primary, start, options.hostPerSecond(), ledger, random.nextLong());
        hosts.add(host);
        return host;
    }

    private String listed() {
        return hosts.stream()
                .filter(host -> host.isListed)
                .map(SoakHost::listed)
                .collect(Collectors.joining(","));
    }

    /** The list as it is now, for a configuration. */
    synchronized String known() {
        return listed();
    }

    /** Discovery tells the list as it is now. */
    synchronized void tell() {
        discovery.publish(listed());
        long now = Ledger.now();
        for (SoakHost host : hosts) {
            if (host.isListed && host.start().toldAt == Long.MAX_VALUE) {
                host.start().toldAt = now;
            }
        }
    }

    /** The members of one replica set. */
    List<SoakHost> members(int group) {
        return hosts.stream().filter(host -> host.group == group).toList();
    }

    List<SoakHost> hosts() {
        return hosts;
    }

    /** The process of a host ends; the list still names it. */
    synchronized void stopHost(SoakHost host) throws IOException {
        host.stop();
    }

    /** The list no longer names these hosts. */
    synchronized void unlist(List<SoakHost> gone) {
        gone.forEach(host -> host.isListed = false);
        tell();
    }

    /** The process of a host that was stopped starts, cold; the list names it, as a start of now, when it is told. */
    synchronized void startHost(SoakHost host) throws IOException {
        if (host.isStopped()) {
            host.startAgain();
            host.isListed = true;
        }
    }

    /** A replica drains, and a cold one comes in its place; false where the host can't be replaced now. */
    synchronized boolean beginReplacing(SoakHost host) throws IOException {
        if (host.isPrimary() || host.drainingSince < Long.MAX_VALUE || host.isStopped()) {
            return false;
        }
        addHost(host.group, false, new SoakHost.Start(false));
        host.drainingSince = Ledger.now();
        tell();
        return true;
    }

    /** A host that drained leaves. */
    synchronized void endReplacing(SoakHost host) throws IOException {
        hosts.remove(host);
        tell();
        host.close();
    }

    /** The primary of a replica set hands over to this replica; the list is not told yet. */
    synchronized void promote(SoakHost replica) {
        members(replica.group).forEach(each -> {
            each.applies(true);
            each.becomes(false);
        });
        replica.becomes(true);
    }

    /** Waits until all clients have ended, ends the proxies, and judges. */
    List<String> finish() throws IOException, InterruptedException {
        for (Thread client : clients) {
            client.join(SETTLE_MILLIS + JOIN_MILLIS);
        }
        for (SoakProxy proxy : proxies) {
            if (!proxy.isAlive()) {
                ledger.violation("proxy " + proxy.number + " does not run at the end");
            }
        }
        endProxies();
        return ledger.judge();
    }

    /** Side by side, as each may take until SIGKILL. */
    private void endProxies() throws InterruptedException {
        List<Thread> ends = new ArrayList<>();
        for (SoakProxy proxy : proxies) {
            Thread end = new Thread(() -> endProxy(proxy), "end");
            ends.add(end);
            end.start();
        }
        for (Thread end : ends) {
            end.join();
        }
    }

    private void endProxy(SoakProxy proxy) {
        try {
            proxy.close();
            proxy.faultsInLogs().forEach(ledger::violation);
        } catch (IOException e) {
            ledger.violation("the play itself failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Until when clients wait for answers. */
    long settledAt() {
        return until + SETTLE_MILLIS / 2;
    }

    @Override
    public void close() throws IOException {
        for (SoakProxy proxy : proxies) {
            proxy.destroy();
        }
        for (SoakHost host : hosts) {
            host.close();
        }
        agent.close();
        otherAgent.close();
        discovery.close();
    }
}
