import java.io.DataInputStream;
import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLongArray;

/**
 * Clients of the platform's front write values of just under 64 KiB, each client a few at once. Each write has to get its
 * one final answer, whatever it is. Without the trouble each client waits for an answer before it sends more.
 */
final class Case6 {
    private static final int CLIENTS = 300;
    private static final int COMMANDS = 4;
    private static final int VALUE_BYTES = 65_500;
    private static final int DEADLINE_MILLIS = 2_000;
    /** Half a second after its time, and the slack of sockets. */
    private static final int LOST_AFTER_MILLIS = DEADLINE_MILLIS + 550;
    /** How long a client goes on listening where the answer does not come. */
    private static final int LISTEN_MILLIS = 15_000;

    private final Rig rig;
    private final int port;
    private final String value = "ab".repeat(VALUE_BYTES);
    private final AtomicInteger taken = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger unanswered = new AtomicInteger();
    private final AtomicInteger late = new AtomicInteger();

    private Case6(Rig rig, int port) {
        this.rig = rig;
        this.port = port;
    }

    private byte[] command(String id) {
        return Pg.message(
                'Q',
                Pg.text("INSERT INTO entries (ref, payload) VALUES ('key-" + id + "', '\\x" + value + "') RETURNING payload /* id="
                        + id + ",c=move-write,d=" + DEADLINE_MILLIS + ",cluster=1 */"));
    }

    private void play(int number) {
        AtomicLongArray sentAt = new AtomicLongArray(COMMANDS);
        int answered = 0;
        try (Pg.Client client = new Pg.Client(port)) {
            if (Rig.TROUBLE) {
                Rig.daemon(() -> {
                    for (int i = 0; i < COMMANDS && send(client, number, i, sentAt); i++) {
                        // The next one is sent without waiting for an answer.
                    }
                });
            }
            DataInputStream in = client.in();
            long before = 0;
            for (; answered < COMMANDS; answered++) {
                if (!Rig.TROUBLE && !send(client, number, answered, sentAt)) {
                    return;
                }
                client.socket.setSoTimeout(LISTEN_MILLIS);
                String kind = readAnswer(in);
                long now = rig.ms();
                // The time spent waiting for the answers before it does not count.
                long millis = now - Math.max(before, sentAt.get(answered));
                before = now;
                (kind.equals("served") ? served : kind.equals("refused") ? refused : failed).incrementAndGet();
                late.addAndGet(millis > LOST_AFTER_MILLIS ? 1 : 0);
                rig.note((millis > LOST_AFTER_MILLIS ? "LATE " : "") + id(number, answered) + ": " + kind + " after " + millis + " ms");
            }
        } catch (IOException e) {
            String why = e instanceof SocketTimeoutException ? "in " + LISTEN_MILLIS + " ms" : "and the end of the connection: " + e;
            for (int i = answered; i < COMMANDS && sentAt.get(i) > 0; i++) {
                unanswered.incrementAndGet();
                rig.note("NO ANSWER " + id(number, i) + " " + why);
            }
        }
    }

    private static String id(int client, int command) {
        return "c" + client + "-" + command;
    }

    /** Sends one command; it is taken once its last byte is written. */
    private boolean send(Pg.Client client, int number, int command, AtomicLongArray sentAt) {
        try {
            client.socket.getOutputStream().write(command(id(number, command)));
            sentAt.set(command, rig.ms());
            taken.incrementAndGet();
            return true;
        } catch (IOException e) {
            rig.note(id(number, command) + " was not taken: " + e);
            return false;
        }
    }

    private static String readAnswer(DataInputStream in) throws IOException {
        String kind = "failed";
        while (true) {
            int type = in.readUnsignedByte();
            byte[] body = Rig.readFully(in, in.readInt() - 4);
            if (type == 'C') {
                kind = "served";
            } else if (type == 'E') {
                String error = new String(body, StandardCharsets.ISO_8859_1).replace('\0', '|');
                kind = error.contains("|C53300|") || error.contains("|C57P03|") ? "refused" : "failed";
            } else if (type == 'Z') {
                return kind;
            }
        }
    }

    public static void main(String[] args) throws Exception {
        Rig rig = new Rig(args[0]);
        Pg.Host.Handler serve = (host, id, statement) -> {
            rig.note(host.name + " runs " + id);
            Thread.sleep(5);
            return "done " + id;
        };
        Pg.Host primary = new Pg.Host("db-0", true, serve);
        Pg.Host replica = new Pg.Host("db-1", false, serve);
        replica.lagMillis = 10;
        String targets = Rig.target("db-0", primary.port, 1, "SERVING", true) + "," + Rig.target("db-1", replica.port, 1, "SERVING", false);
        Discovery discovery = new Discovery(targets);
        int listen = Rig.freePort();
        int control = Rig.freePort();
        Path config = rig.write(
                "config.json", rig.config("n0", listen, control, discovery.port, Rig.list(1, targets), Rig.settings(1)));
        Rig.Proxy proxy = rig.start("n0", config, control, null);
        if (!proxy.awaitReady(20_000)) {
            Rig.end(rig, 2, "the program was not ready");
        }
        try (Pg.Client client = new Pg.Client(listen)) {
            for (int i = 0; i < 30; i++) {
                client.ask(
                        "INSERT INTO entries (ref, payload) VALUES ('k', '\\x00') RETURNING payload /* id=small-" + i
                                + ",c=move-write,d=2000,cluster=1 */",
                        3_000);
            }
        }
        Case6 play = new Case6(rig, listen);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Thread client = new Thread(null, () -> play.play(number), "client", 256 * 1024);
            clients.add(client);
            client.start();
            if (i % 4 == 0) {
                Thread.sleep(3);
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        String counts = "of " + play.taken + " writes taken " + play.served + " were served, " + play.refused + " refused, "
                + play.failed + " failed, " + play.unanswered + " got no answer, " + play.late + " a late one"
                + (proxy.process.isAlive() ? "" : "; the process has ended");
        if (play.taken.get() < CLIENTS) {
            Rig.end(rig, 2, counts);
        }
        // Late answers are told and not judged: this machine may be slow.
        boolean lost = play.unanswered.get() > 0 || !proxy.process.isAlive();
        Rig.end(rig, lost ? 1 : 0, counts);
    }
}
