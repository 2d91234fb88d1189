package mintstair.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.wire.PgWriter;

/** A database host that speaks the PostgreSQL protocol. */
public final class PgHost extends StandInHost {
    private static final Pattern ID = Pattern.compile("id=([^,]*),");

    /** Released by the test to let the host send the extra reply of TRAILED, or end the connection of LONG_TORN. */
    public final Semaphore trailingAllowed = new Semaphore(0);
    /** Released by the host when it has sent the extra reply of TRAILED. */
    public final Semaphore trailingSent = new Semaphore(0);

    /** The length of the value of LONG; LONG_TORN sends half of it. */
    public static final int LONG_VALUE_LENGTH = 4 * 1024 * 1024;

    public PgHost(String name, boolean primary, long positionMillis) throws IOException {
        super(name, primary, positionMillis);
    }

    @Override
    protected void serve(DataInputStream in, OutputStream out) throws IOException {
        in.readNBytes(in.readInt() - 4);
        out.write(new PgWriter().message('R', 0).ready().bytes());
        for (int type = in.read(); type == 'Q'; type = in.read()) {
            byte[] query = in.readNBytes(in.readInt() - 4);
            String text = new String(query, 0, query.length - 1, StandardCharsets.UTF_8);
            Matcher id = ID.matcher(text);
            if (text.equals("SHOW vitals")) {
                String vitals = behaviors.get("vitals") == HostBehavior.NOISE
                        ? "inflight=%%%,x0=nan,x1=q"
                        : "inflight=0,util=0.1,x0=" + positionMillis / 1e3 + ",x1=" + (primary ? 1 : 0);
                out.write(row(vitals).ready().bytes());
                continue;
            }
            HostBehavior behavior = id.find() ? requestReceived(id.group(1)) : HostBehavior.SERVE;
            if (behavior == HostBehavior.BREAK) {
                return;
            }
            if (behavior == HostBehavior.SILENT) {
                continue;
            }
            if (behavior == HostBehavior.NOISE || behavior == HostBehavior.HUGE) {
                // The connection stays open, but the proxy cannot use it any more.
                out.write(
                        behavior == HostBehavior.NOISE
                                ? "q\0?%%%".repeat(9).getBytes(StandardCharsets.UTF_8)
                                : new byte[] {'D', -1, -1, -1, -16, 0, 1, -1, -1, -1, 0, 7, 7, 7});
                continue;
            }
            if (behavior == HostBehavior.LONG_TORN) {
                out.write(row("l".repeat(LONG_VALUE_LENGTH)).bytes(), 0, LONG_VALUE_LENGTH / 2);
                trailingAllowed.acquireUninterruptibly();
                return;
            }
            PgWriter reply = switch (behavior) {
                case TORN -> row(id.group(1)).message('D', '\0', '\1', 99, "short");
                case MISS -> error("25006");
                case ERROR -> error("XX000");
                case LONG -> row("l".repeat(LONG_VALUE_LENGTH));
                case FULL -> error("53300");
                default -> row(repliesWithKey ? "value of " + text.split("'")[1] : id.group(1));
            };
            byte[] message = reply.message('S', "rank", primary ? "source" : "copy")
                    .message('S', "as_of", Long.toString(positionMillis))
                    .ready()
                    .bytes();
            out.write(message);
            if (behavior == HostBehavior.TWICE) {
                out.write(message);
            }
            if (behavior == HostBehavior.TRAILED) {
                trailingAllowed.acquireUninterruptibly();
                out.write(message);
                trailingSent.release();
            }
        }
    }

    private static PgWriter error(String code) {
        return new PgWriter().error("ERROR", code, "requested by the test", null);
    }

    private static PgWriter row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', bytes.length, bytes)
                .message('C', "SELECT 1");
    }
}
