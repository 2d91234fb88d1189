package mintstair.standin;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** An agent that holds a list of hosts, answers calls and watches, and fails on its sockets as it is told. */
public final class ListAgent implements AutoCloseable {
    /** What becomes of the calls that come from now on, or of the one answer that comes next. */
    public enum Fault { NONE, SILENT, CUT, HALF, UNREADABLE, BUSY }

    private record Target(String state, int revision) { }

    /** The index that each call asked from, null where it asked for the whole list. */
    public final List<String> asked = new CopyOnWriteArrayList<>();
    /** For how many milliseconds each call wanted to wait for news, 0 where it did not. */
    public final List<Long> waits = new CopyOnWriteArrayList<>();
    private final Map<String, Target> targets = new LinkedHashMap<>();
    private final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());
    private final Set<Socket> mute = Collections.synchronizedSet(new HashSet<>());
    private final boolean indented;
    private final Random pieces = new Random(3);
    private volatile ServerSocket server;
    private int port;
    private int revision = 1;
    private Fault next = Fault.NONE;
    private boolean silent;

    /** Serves so many hosts, from h0 on, in groups of three. */
    public ListAgent(int hosts, boolean indented) throws IOException {
        this.indented = indented;
        for (int i = 0; i < hosts; i++) {
            targets.put("h" + i, new Target("SERVING", 1));
        }
        open();
    }

    /** Listens again where it stopped, on the port it had. */
    public synchronized void open() throws IOException {
        ServerSocket made = new ServerSocket();
        made.setReuseAddress(true);
        made.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port), 50);
        port = made.getLocalPort();
        server = made;
        StandInHost.daemon(() -> accept(made));
    }

    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", port);
    }

    /** The list as it stands, in discovery's form. */
    public synchronized String list() {
        return text(0);
    }

    /** The list changes; open watches that are not silent are told. */
    public synchronized void tell(String host, String state) {
        targets.put(host, new Target(state, ++revision));
        notifyAll();
    }

    /** The next answer goes wrong in this way, and only that. */
    public synchronized void failOnce(Fault fault) {
        next = fault;
    }

    /** All watches that are open say nothing any more. */
    public synchronized void muteOpen() {
        mute.addAll(sockets);
    }

    /** Whether calls get no answer; those made meanwhile never get one. */
    public synchronized void silent(boolean is) {
        silent = is;
        mute.addAll(is ? sockets : Set.of());
    }

    /** Resets what is open. */
    public void reset() throws IOException {
        for (Socket socket : List.copyOf(sockets)) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Refuses connections until it is opened again. */
    public void refuse() throws IOException {
        server.close();
        reset();
    }

    private void accept(ServerSocket at) {
        while (!at.isClosed()) {
            try {
                Socket socket = at.accept();
                synchronized (this) {
                    sockets.add(socket);
                    if (silent) {
                        mute.add(socket);
                    }
                }
                StandInHost.daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = in.readLine(); line != null; line = in.readLine()) {
                String path = line;
                while (!line.isEmpty()) {
                    line = in.readLine();
                }
                answer(socket, path);
            }
        } catch (IOException | InterruptedException e) {
            // The proxy went away, or the fault ended the connection.
        } finally {
            sockets.remove(socket);
        }
    }

    private void answer(Socket socket, String path) throws IOException, InterruptedException {
        String index = path.contains("index=") ? path.replaceAll(".*index=(\\d+).*", "$1") : null;
        long wait = index == null ? 0 : Long.parseLong(path.replaceAll(".*wait=(\\d+).*", "$1"));
        waits.add(wait);
        asked.add(String.valueOf(index));
        Fault fault;
        String body;
        synchronized (this) {
            int known = index == null ? 0 : Integer.parseInt(index);
            long until = System.nanoTime() + wait * 1_000_000;
            while (known >= revision && System.nanoTime() < until && next != Fault.BUSY) {
                wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
            }
            if (mute.contains(socket)) {
                return;
            }
            fault = next;
            next = Fault.NONE;
            body = text(known);
        }
        byte[] bytes = (fault == Fault.UNREADABLE ? body.replace("]}", "]") : body).getBytes(StandardCharsets.US_ASCII);
        OutputStream out = socket.getOutputStream();
        out.write(("HTTP/1.1 " + (fault == Fault.BUSY ? "503 Service Unavailable" : "200 OK") + "\r\nContent-Type: application/json\r\n"
            + "Content-Length: " + (fault == Fault.BUSY ? 0 : bytes.length) + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        int most = fault == Fault.BUSY ? 0 : fault == Fault.CUT || fault == Fault.HALF ? bytes.length / 2 : bytes.length;
        for (int at = 0; at < most;) {
            int n = Math.min(most - at, 1 + pieces.nextInt(4096));
            out.write(bytes, at, n);
            out.flush();
            at += n;
        }
        if (fault == Fault.CUT) {
            throw new IOException("cut");
        }
        if (fault == Fault.HALF) {
            mute.add(socket);
        }
    }

    private String text(int since) {
        String line = indented ? "\n  " : "";
        List<String> lines = new ArrayList<>();
        targets.forEach((name, target) -> {
            int number = Integer.parseInt(name.substring(1));
            if (target.revision > since) {
                lines.add(("{#\"uid\":\"" + name + "\",#\"endpoint\":\"127.0.0.1:1\",#\"az\":\"a\",#\"model\":\"m\",#\"pod_group\":"
                    + number / 3 + ",#\"state\":\"" + target.state + "\",#\"capacity_hint\":1.0,#\"boot_ms\":0,#\"rank\":\""
                    + (number % 3 == 0 ? "source" : "copy") + "\"}").replace("#", line));
            }
        });
        return "{" + line + "\"rev\": " + revision + "," + line + "\"all\":" + (since == 0) + ",\"targets\":["
            + lines.stream().collect(Collectors.joining("," + line)) + "]}";
    }

    @Override
    public void close() throws IOException {
        refuse();
    }
}
