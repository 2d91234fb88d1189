package mintstair.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;
import mintstair.standin.Discovery;
import mintstair.standin.FaultShim.Call;
import mintstair.standin.FaultShim.Fault;
import mintstair.standin.Relay;

/**
 * One play of a seed: proxies as processes, hosts, discovery and clients, and troubles that overlap, two or three at
 * a time.
 */
final class SoakPlay implements AutoCloseable {
    private static final int GROUPS = 2;
    private static final int REPLICAS = 2;
    private static final int CLIENTS_EACH = 4;
    private static final int TROUBLES_AT_ONCE = 3;
    private static final long LONGEST_TROUBLE = 1_800;
    private static final long SETTLE_MILLIS = 3_000;

    /** What may go wrong. */
    private enum Trouble {
        STOP,
        HAND_OVER,
        KILL,
        PAUSE,
        RELOAD,
        CLOCK_STEP,
        ACCEPT_FAILS,
        CONNECT_FAILS,
        SOCKET_FAILS,
        SHORT_READS,
        SHORT_WRITES,
        INTERRUPTS,
        HOST_HANGS,
        HOST_RESETS,
        HOST_ERRORS,
        HOST_FULL,
        HOST_TEARS,
        HOST_LATE,
        HOST_LAGS,
        HOST_REPLACED,
        NEW_PRIMARY,
        WATCH_MUTE,
        WATCH_CUT,
        LIST_SILENT
    }

    private final Ledger ledger = new Ledger();
    private final Random random;
    private final long until;
    private final List<SoakProxy> proxies = new ArrayList<>();
    private final List<SoakHost> hosts = new CopyOnWriteArrayList<>();
    private final List<Thread> threads = new ArrayList<>();
    private final List<String> story = new CopyOnWriteArrayList<>();
    private final Discovery discovery;
    private final Relay agent;
    private final Relay otherAgent;
    private int made;

    SoakPlay(long seed, int count, long millis, Path folder) throws IOException, InterruptedException {
        Files.createDirectories(folder);
        random = new Random(seed);
        for (int group = 0; group < GROUPS; group++) {
            for (int i = 0; i <= REPLICAS; i++) {
                addHost(group, i == 0, 0);
            }
        }
        discovery = new Discovery(listed());
        agent = new Relay(discovery.port());
        otherAgent = new Relay(discovery.port());
        for (int i = 0; i < count; i++) {
            SoakProxy proxy = new SoakProxy(i, count, folder, ledger);
            proxies.add(proxy);
            proxy.configure(agent.port(), listed());
            proxy.start();
        }
        for (SoakProxy proxy : proxies) {
            proxy.awaitReady();
        }
        until = Ledger.now() + millis;
        for (SoakProxy proxy : proxies) {
            for (int i = 0; i < CLIENTS_EACH; i++) {
                String prefix = "s" + seed + "p" + proxy.number + "c" + i;
                start(new SoakClient(
                        proxy, GROUPS, ledger, seed * 31 + proxy.number * 7L + i, prefix, until + SETTLE_MILLIS / 2));
            }
        }
    }

    private void start(Runnable task) {
        Thread thread = new Thread(task, "soak");
        thread.setDaemon(true);
        threads.add(thread);
        thread.start();
    }

    private SoakHost addHost(int group, boolean primary, long bootMillis) throws IOException {
        SoakHost host = new SoakHost("h" + made++, group, primary, bootMillis, ledger, random.nextLong());
        hosts.add(host);
        return host;
    }

    private String listed() {
        return hosts.stream().map(SoakHost::listed).collect(Collectors.joining(","));
    }

    /** Plays to the end and judges; returns what broke the rules. */
    List<String> play() throws Exception {
        List<Thread> troubles = new ArrayList<>();
        for (int i = 0; i < TROUBLES_AT_ONCE; i++) {
            Random chance = new Random(random.nextLong());
            troubles.add(new Thread(() -> makeTrouble(chance), "trouble"));
        }
        troubles.forEach(Thread::start);
        for (Thread trouble : troubles) {
            trouble.join();
        }
        for (Thread thread : threads) {
            thread.join(SETTLE_MILLIS + 30_000);
        }
        for (SoakProxy proxy : proxies) {
            if (!proxy.isAlive()) {
                ledger.violation("proxy " + proxy.number + " does not run at the end");
            }
            proxy.close();
            proxy.faultsInLog().forEach(ledger::violation);
        }
        return ledger.judge();
    }

    private void makeTrouble(Random chance) {
        try {
            while (Ledger.now() < until - LONGEST_TROUBLE) {
                Trouble trouble = Trouble.values()[chance.nextInt(Trouble.values().length)];
                SoakProxy proxy = proxies.get(chance.nextInt(proxies.size()));
                story.add(Ledger.now() + " " + trouble + " at proxy " + proxy.number);
                make(trouble, proxy, chance, 100 + chance.nextInt((int) LONGEST_TROUBLE - 300));
                Thread.sleep(chance.nextInt(200));
            }
        } catch (IOException e) {
            ledger.violation("the play itself failed: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void make(Trouble trouble, SoakProxy proxy, Random chance, long millis)
            throws IOException, InterruptedException {
        switch (trouble) {
            case STOP -> signalled(proxy, () -> proxy.restart(false));
            case HAND_OVER -> signalled(proxy, () -> proxy.restart(true));
            case KILL -> signalled(proxy, proxy::kill);
            case PAUSE -> signalled(proxy, () -> proxy.pause(millis / 3));
            case RELOAD ->
                signalled(proxy, () -> {
                    proxy.configure(chance.nextBoolean() ? agent.port() : otherAgent.port(), listed());
                    proxy.signal("HUP");
                });
            case CLOCK_STEP -> proxy.shim.shiftWallClock(Duration.ofSeconds(chance.nextInt(7_200) - 3_600));
            case ACCEPT_FAILS ->
                fail(
                        proxy,
                        Call.ACCEPT,
                        chance,
                        millis,
                        Fault.EMFILE,
                        Fault.ENFILE,
                        Fault.ECONNABORTED,
                        Fault.ENOBUFS,
                        Fault.EINTR);
            case CONNECT_FAILS ->
                fail(
                        proxy,
                        Call.CONNECT,
                        chance,
                        millis,
                        Fault.EADDRNOTAVAIL,
                        Fault.ENETUNREACH,
                        Fault.ETIMEDOUT,
                        Fault.EHOSTUNREACH);
            case SOCKET_FAILS -> fail(proxy, Call.SOCKET, chance, millis, Fault.ENOBUFS, Fault.ENFILE, Fault.EMFILE);
            case SHORT_READS -> fail(proxy, Call.READ, chance, millis, Fault.ONE_BYTE);
            case SHORT_WRITES -> fail(proxy, Call.WRITE, chance, millis, Fault.ONE_BYTE);
            case INTERRUPTS -> fail(proxy, Call.EPOLL_WAIT, chance, millis, Fault.EINTR);
            case HOST_HANGS -> behave(chance, SoakHost.Mode.HANG, millis);
            case HOST_RESETS -> behave(chance, SoakHost.Mode.RESET, millis);
            case HOST_ERRORS -> behave(chance, SoakHost.Mode.ERROR, millis);
            case HOST_FULL -> behave(chance, SoakHost.Mode.TURN_AWAY, millis);
            case HOST_TEARS -> behave(chance, SoakHost.Mode.TORN, millis);
            case HOST_LATE -> {
                SoakHost host = anyHost(chance);
                host.greetsLate = true;
                Thread.sleep(millis);
                host.greetsLate = false;
            }
            case HOST_LAGS -> {
                SoakHost host = anyHost(chance);
                host.applies(host.isPrimary());
                Thread.sleep(millis);
                host.applies(true);
            }
            case HOST_REPLACED -> replace(anyHost(chance), millis);
            case NEW_PRIMARY -> handOver(chance);
            case WATCH_MUTE -> listTrouble(agent::mute, () -> {}, 0);
            case WATCH_CUT -> listTrouble(agent::cut, () -> {}, 0);
            case LIST_SILENT -> listTrouble(() -> agent.silence(true), () -> agent.silence(false), millis);
            default -> throw new IllegalStateException("no play of " + trouble);
        }
    }

    /** Something that is done to a process. */
    private interface Deed {
        void run() throws IOException, InterruptedException;
    }

    /** One signal after the other at each process, as its successor's would be another's. */
    private static void signalled(SoakProxy proxy, Deed deed) throws IOException, InterruptedException {
        synchronized (proxy) {
            deed.run();
        }
    }

    private static void fail(SoakProxy proxy, Call call, Random chance, long millis, Fault... faults)
            throws InterruptedException {
        proxy.shim.fail(call, faults[chance.nextInt(faults.length)], 300 + chance.nextInt(700));
        Thread.sleep(millis);
        proxy.shim.heal();
    }

    private SoakHost anyHost(Random chance) {
        return hosts.get(chance.nextInt(hosts.size()));
    }

    private void behave(Random chance, SoakHost.Mode mode, long millis) throws InterruptedException {
        SoakHost host = anyHost(chance);
        host.mode = mode;
        Thread.sleep(millis);
        host.mode = SoakHost.Mode.SERVE;
    }

    private void listTrouble(Runnable begin, Runnable end, long millis) throws InterruptedException {
        long from = Ledger.now();
        begin.run();
        Thread.sleep(millis);
        end.run();
        ledger.listWasInTrouble(from, Ledger.now());
    }

    /**
     * A replica drains, and another one comes in its place, cold; it stays up for a while, in which nothing new may
     * come.
     */
    private void replace(SoakHost host, long millis) throws IOException, InterruptedException {
        synchronized (discovery) {
            if (host.isPrimary() || host.drainingSince < Long.MAX_VALUE) {
                return;
            }
            addHost(host.group, false, System.currentTimeMillis());
            host.drainingSince = Ledger.now();
            discovery.tell(listed());
        }
        Thread.sleep(1_500 + millis);
        synchronized (discovery) {
            hosts.remove(host);
            discovery.tell(listed());
        }
        host.close();
    }

    /** A primary hands over to a replica of its group; the list is late to tell. */
    private void handOver(Random chance) throws InterruptedException {
        int group = chance.nextInt(GROUPS);
        synchronized (discovery) {
            List<SoakHost> replicas = hosts.stream()
                    .filter(each -> each.group == group && !each.isPrimary() && each.drainingSince == Long.MAX_VALUE)
                    .toList();
            if (replicas.isEmpty()) {
                return;
            }
            hosts.stream().filter(each -> each.group == group).forEach(each -> {
                each.applies(true);
                each.becomes(false);
            });
            replicas.get(chance.nextInt(replicas.size())).becomes(true);
        }
        Thread.sleep(500);
        synchronized (discovery) {
            discovery.tell(listed());
        }
    }

    /** What was made to go wrong, in order. */
    List<String> story() {
        return story;
    }

    @Override
    public String toString() {
        return ledger.toString();
    }

    @Override
    public void close() throws IOException {
        for (SoakHost host : hosts) {
            host.close();
        }
        agent.close();
        otherAgent.close();
        discovery.close();
    }
}
