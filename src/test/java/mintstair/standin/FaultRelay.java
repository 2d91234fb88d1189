package mintstair.standin;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * A network between processes that know each other, one link for each pair and direction, that fails as it is told.
 * Process i listens at 127.0.1.i+1 and binds what it sends to that, by which the relay knows it; the others reach it
 * at 127.0.2.i+1, the same port.
 */
public final class FaultRelay implements AutoCloseable {
    /** What a link does: cut (nothing passes, connections hang), or passes after a delay. */
    public record Link(boolean cut, long delayMillis) {
        public static final Link GOOD = new Link(false, 0);
        public static final Link CUT = new Link(true, 0);
    }

    private final Link[][] links;
    private final List<AutoCloseable> open = new ArrayList<>();
    private final ScheduledExecutorService later = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "relay");
        thread.setDaemon(true);
        return thread;
    });
    private final DatagramSocket out = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"));
    private final int[] ports;

    public FaultRelay(int processes) throws IOException {
        links = new Link[processes][processes];
        ports = new int[processes];
        for (int i = 0; i < processes; i++) {
            Arrays.fill(links[i], Link.GOOD);
            int to = i;
            DatagramSocket datagrams = new DatagramSocket(0, address(2, i));
            ports[i] = datagrams.getLocalPort();
            ServerSocket server = new ServerSocket(ports[i], 100, address(2, i));
            open.add(datagrams);
            open.add(server);
            StandInHost.daemon(() -> carry(datagrams, to));
            StandInHost.daemon(() -> accept(server, to));
        }
    }

    private static InetAddress address(int side, int process) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, (byte) side, (byte) (process + 1)});
    }

    /** Where process i listens itself. */
    public String listen(int i) {
        return "127.0.1." + (i + 1) + ":" + ports[i];
    }

    /** Where the others reach it. */
    public String advertise(int i) {
        return "127.0.2." + (i + 1) + ":" + ports[i];
    }

    public synchronized void link(int from, int to, Link link) {
        links[from][to] = link;
    }

    /** Both directions. */
    public void between(int a, int b, Link link) {
        link(a, b, link);
        link(b, a, link);
    }

    /** All between the first so many and the rest. */
    public void partition(int first, Link link) {
        for (int a = 0; a < first; a++) {
            for (int b = first; b < links.length; b++) {
                between(a, b, link);
            }
        }
    }

    private synchronized Link link(InetAddress from, int to) {
        int i = (from.getAddress()[3] & 0xff) - 1;
        return i >= 0 && i < links.length && from.getAddress()[2] == 1 ? links[i][to] : Link.GOOD;
    }

    private synchronized Link back(InetAddress from, int to) {
        return links[to][(from.getAddress()[3] & 0xff) - 1];
    }

    private void carry(DatagramSocket in, int to) {
        byte[] bytes = new byte[2048];
        while (!in.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
                in.receive(packet);
                Link link = link(packet.getAddress(), to);
                if (!link.cut) {
                    DatagramPacket on = new DatagramPacket(
                            Arrays.copyOf(bytes, packet.getLength()),
                            packet.getLength(),
                            new InetSocketAddress(address(1, to), ports[to]));
                    later.schedule(() -> send(on), link.delayMillis, TimeUnit.MILLISECONDS);
                }
            } catch (IOException e) {
                // Closed, or the process behind is gone.
            }
        }
    }

    private void send(DatagramPacket packet) {
        try {
            out.send(packet);
        } catch (IOException e) {
            // Lost, as datagrams are.
        }
    }

    private void accept(ServerSocket server, int to) {
        while (!server.isClosed()) {
            try {
                Socket caller = server.accept();
                StandInHost.daemon(() -> pass(caller, to));
            } catch (IOException e) {
                // Closed.
            }
        }
    }

    /** What the process says goes to the caller; one that is gone is told by closing, a cut link by nothing at all. */
    private void pass(Socket caller, int to) {
        Link link = link(caller.getInetAddress(), to);
        try (caller;
                Socket behind = new Socket()) {
            if (link.cut || back(caller.getInetAddress(), to).cut) {
                caller.setSoTimeout(10_000);
                caller.getInputStream().read();
                return;
            }
            behind.connect(new InetSocketAddress(address(1, to), ports[to]), 2_000);
            behind.setSoTimeout(10_000);
            byte[] said = behind.getInputStream().readAllBytes();
            Thread.sleep(2 * link.delayMillis);
            caller.getOutputStream().write(said);
        } catch (IOException e) {
            // The caller sees its end.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws Exception {
        later.shutdownNow();
        out.close();
        for (AutoCloseable each : open) {
            each.close();
        }
    }
}
