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
 * A network between processes, with one link for each pair and direction, which the test can cut or delay. Process i
 * listens at 127.0.1.i+1 and sends from that address, by which the relay recognizes it; the other processes send to
 * 127.0.2.i+1 and the same port.
 */
public final class FaultRelay implements AutoCloseable {
    /** The state of a link: it is cut, so that connections hang, or it forwards after a delay. */
    public record Link(boolean cut, long delayMillis) {
        public static final Link GOOD = new Link(false, 0);
        public static final Link CUT = new Link(true, 0);
    }

    private final Link[][] links;
    private final List<AutoCloseable> open = new ArrayList<>();
    private final ScheduledExecutorService delayed = Executors.newSingleThreadScheduledExecutor(task -> {
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
            StandInHost.daemon(() -> forwardDatagrams(datagrams, to));
            StandInHost.daemon(() -> accept(server, to));
        }
    }

    private static InetAddress address(int side, int process) throws IOException {
        return InetAddress.getByAddress(new byte[] {127, 0, (byte) side, (byte) (process + 1)});
    }

    /** Returns the address at which process i listens. */
    public String listenAddress(int i) {
        return "127.0.1." + (i + 1) + ":" + ports[i];
    }

    /** Returns the address at which the other processes reach process i. */
    public String advertisedAddress(int i) {
        return "127.0.2." + (i + 1) + ":" + ports[i];
    }

    /** Sets the link of one direction. */
    public synchronized void setLink(int from, int to, Link link) {
        links[from][to] = link;
    }

    /** Sets the links of both directions. */
    public void setLinks(int a, int b, Link link) {
        setLink(a, b, link);
        setLink(b, a, link);
    }

    /** Sets all links between the first {@code first} processes and the rest. */
    public void partition(int first, Link link) {
        for (int a = 0; a < first; a++) {
            for (int b = first; b < links.length; b++) {
                setLinks(a, b, link);
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

    private void forwardDatagrams(DatagramSocket in, int to) {
        byte[] bytes = new byte[2048];
        while (!in.isClosed()) {
            try {
                DatagramPacket packet = new DatagramPacket(bytes, bytes.length);
                in.receive(packet);
                Link link = link(packet.getAddress(), to);
                if (!link.cut) {
                    DatagramPacket forwarded = new DatagramPacket(
                            Arrays.copyOf(bytes, packet.getLength()),
                            packet.getLength(),
                            new InetSocketAddress(address(1, to), ports[to]));
                    delayed.schedule(() -> send(forwarded), link.delayMillis, TimeUnit.MILLISECONDS);
                }
            } catch (IOException e) {
                // The socket is closed, or the process has ended.
            }
        }
    }

    private void send(DatagramPacket packet) {
        try {
            out.send(packet);
        } catch (IOException e) {
            // The datagram is lost, as may happen on any network.
        }
    }

    private void accept(ServerSocket server, int to) {
        while (!server.isClosed()) {
            try {
                Socket caller = server.accept();
                StandInHost.daemon(() -> forwardConnection(caller, to));
            } catch (IOException e) {
                // The listener is closed.
            }
        }
    }

    /** Forwards the bytes of the process to the caller; a process that has ended shows as the end of the connection. */
    private void forwardConnection(Socket caller, int to) {
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
            byte[] reply = behind.getInputStream().readAllBytes();
            Thread.sleep(2 * link.delayMillis);
            caller.getOutputStream().write(reply);
        } catch (IOException e) {
            // The caller sees the end of the connection.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws Exception {
        delayed.shutdownNow();
        out.close();
        for (AutoCloseable each : open) {
            each.close();
        }
    }
}
