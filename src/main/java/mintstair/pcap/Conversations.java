package mintstair.pcap;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import mintstair.wire.Framer;
import mintstair.wire.ProtocolException;

/** The messages that clients sent to one port, as a capture shows them: whole ones, in the order they were whole. */
public final class Conversations {
    /** One message and the connection it came on, numbered by first sight. */
    public record Sent(int connection, byte[] message) { }

    private final List<Sent> messages = new ArrayList<>();
    private final Map<List<InetSocketAddress>, Client> clients = new HashMap<>();
    private final Supplier<Framer> framers;
    private int connections;
    private int incomplete;

    /** One client's connection. */
    private final class Client {
        final int number = connections++;
        final Framer framer = framers.get();
        boolean broken;
        final TcpStream stream = new TcpStream(bytes -> {
            try {
                framer.feed(bytes);
                for (byte[] m = broken ? null : framer.next(); m != null; m = framer.next()) {
                    messages.add(new Sent(number, m));
                }
            } catch (ProtocolException e) {
                // What follows cannot be told apart any more; what came before stands.
                broken = true;
            }
        });

        void end() {
            incomplete += broken || stream.hasGap() || framer.pending() > 0 ? 1 : 0;
        }
    }

    private Conversations(Supplier<Framer> framers) {
        this.framers = framers;
    }

    /** Reads a capture; {@code port} is the one that the clients connected to. */
    public static Conversations read(Path file, int port, Supplier<Framer> framers) throws IOException {
        Conversations found = new Conversations(framers);
        try (PcapReader in = new PcapReader(file)) {
            for (PcapReader.Captured c = in.next(); c != null; c = in.next()) {
                Packet p = Packet.parse(in.linkType(), c.data());
                if (p != null && p.to().getPort() == port) {
                    found.take(p);
                }
            }
        }
        found.clients.values().forEach(Client::end);
        return found;
    }

    private void take(Packet p) {
        List<InetSocketAddress> flow = List.of(p.from(), p.to());
        Client client = clients.get(flow);
        if (client != null && client.stream.isRestart(p)) {
            client.end();
            client = null;
        }
        if (client == null) {
            client = new Client();
            clients.put(flow, client);
        }
        client.stream.take(p);
    }

    public List<Sent> messages() {
        return messages;
    }

    public int connections() {
        return connections;
    }

    /** Connections of which something captured is no whole message. */
    public int incomplete() {
        return incomplete;
    }
}
