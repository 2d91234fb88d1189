package mintstair.soak;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.util.Random;
import mintstair.soak.Ledger.Asked;
import mintstair.soak.Ledger.Kind;
import mintstair.standin.Client;

/** One client of one proxy: it asks, waits, leaves early at times, and notes what it did and heard. */
final class SoakClient implements Runnable {
    private static final int PATIENCE_MILLIS = 8_000;
    private static final int MOST_REST_MILLIS = 60;
    private static final int MOST_LEAVING_MILLIS = 150;
    private static final double LEAVES = 0.06;
    private static final double ENDS_CONNECTION = 0.1;
    private static final double ASKS_SOON_AFTER_WRITE = 0.5;

    private final SoakProxy proxy;
    private final int groups;
    private final Ledger ledger;
    private final Random random;
    private final String prefix;
    private final long until;
    private int count;

    SoakClient(SoakProxy proxy, int groups, Ledger ledger, long seed, String prefix, long until) {
        this.proxy = proxy;
        this.groups = groups;
        this.ledger = ledger;
        this.prefix = prefix;
        this.until = until;
        random = new Random(seed);
    }

    @Override
    public void run() {
        try {
            while (Ledger.now() < until) {
                try (Client.Pg client = new Client.Pg(proxy.port)) {
                    client.socket.setSoTimeout(PATIENCE_MILLIS);
                    talk(client);
                } catch (IOException e) {
                    // The proxy is ending, starting or killed.
                    Thread.sleep(20);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Asks one request after the other, up to the end of the connection. */
    private void talk(Client.Pg client) throws IOException, InterruptedException {
        boolean first = true;
        while (Ledger.now() < until) {
            if (!ask(client, first) || random.nextDouble() < ENDS_CONNECTION) {
                return;
            }
            first = false;
            Thread.sleep(random.nextInt(MOST_REST_MILLIS));
        }
    }

    /** Whether the connection can be used further. */
    private boolean ask(Client.Pg client, boolean first) throws IOException, InterruptedException {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        long after = kind == Kind.SESSION && random.nextDouble() < ASKS_SOON_AFTER_WRITE
                ? System.currentTimeMillis() - random.nextInt(500)
                : 0;
        String id = prefix + "-" + count++;
        int cluster = random.nextInt(groups);
        Asked asked = ledger.asks(id, kind, proxy.number, after, first);
        try {
            client.send(
                    kind.writes,
                    "id=" + id + ",c=" + kind.title + ",cluster=" + cluster + (after > 0 ? ",after=" + after : ""),
                    kind.deadline);
            if (random.nextDouble() < LEAVES) {
                Thread.sleep(random.nextInt(MOST_LEAVING_MILLIS));
                asked.leftAt = Ledger.now();
                return false;
            }
            String answer = client.answer();
            asked.answer = answer.equals("nothing") ? "" : answer;
        } catch (SocketTimeoutException e) {
            asked.answer = "";
        } finally {
            asked.endedAt = Ledger.now();
        }
        return !asked.answer.isEmpty();
    }
}
