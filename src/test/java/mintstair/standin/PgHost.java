package mintstair.standin;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Semaphore;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import mintstair.wire.PgWriter;

/** A db host that speaks PostgreSQL's protocol. */
public final class PgHost extends StandInHost {
    private static final Pattern ID = Pattern.compile("id=([^,]*),");

    /** Lets the bytes behind an answer go that TRAILED asks for. */
    public final Semaphore trail = new Semaphore(0);
    /** Tells that bytes behind an answer have gone out. */
    public final Semaphore trailed = new Semaphore(0);

    /** Of a long value; a torn one ends in its middle when this lets it go. */
    public static final int LONG = 4 * 1024 * 1024;

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
                String vitals = script.get("vitals") == Act.NOISE
                        ? "inflight=%%%,x0=nan,x1=q"
                        : "inflight=0,util=0.1,x0=" + positionMillis / 1e3 + ",x1=" + (primary ? 1 : 0);
                out.write(row(vitals).ready().bytes());
                continue;
            }
            Act act = id.find() ? act(id.group(1)) : Act.SERVE;
            if (act == Act.BREAK) {
                return;
            }
            if (act == Act.SILENT) {
                continue;
            }
            if (act == Act.NOISE || act == Act.HUGE) {
                // The connection stays open, and is of no further use.
                out.write(
                        act == Act.NOISE
                                ? "q\0?%%%".repeat(9).getBytes(StandardCharsets.UTF_8)
                                : new byte[] {'D', -1, -1, -1, -16, 0, 1, -1, -1, -1, 0, 7, 7, 7});
                continue;
            }
            if (act == Act.LONG_TORN) {
                out.write(row("l".repeat(LONG)).bytes(), 0, LONG / 2);
                trail.acquireUninterruptibly();
                return;
            }
            PgWriter words = switch (act) {
                case TORN -> row(id.group(1)).message('D', '\0', '\1', 99, "short");
                case MISS -> error("25006");
                case ERROR -> error("XX000");
                case LONG -> row("l".repeat(LONG));
                case FULL -> error("53300");
                default -> row(byKey ? "value of " + text.split("'")[1] : id.group(1));
            };
            byte[] answer = words.message('S', "rank", primary ? "source" : "copy")
                    .message('S', "as_of", Long.toString(positionMillis))
                    .ready()
                    .bytes();
            out.write(answer);
            if (act == Act.TWICE) {
                out.write(answer);
            }
            if (act == Act.TRAILED) {
                trail.acquireUninterruptibly();
                out.write(answer);
                trailed.release();
            }
        }
    }

    private static PgWriter error(String code) {
        return new PgWriter().error("ERROR", code, "as the script says", null);
    }

    private static PgWriter row(String value) {
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        return new PgWriter()
                .message('T', '\0', '\1', "payload", 0, '\0', '\0', 17, '\0', '\4', -1, '\0', '\1')
                .message('D', '\0', '\1', bytes.length, bytes)
                .message('C', "SELECT 1");
    }
}
