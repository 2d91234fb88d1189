package mintstair.control;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** {@code members HOST:PORT}: the fleet as the instance with this second address sees it. */
public final class MembersCommand {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final String OK = "ok\n";
    private static final String EOF = "eof\n";

    private MembersCommand() {}

    /** Prints the view; returns 1 where the instance is no member of a fleet, and throws where none answers. */
    public static int run(InetSocketAddress control, PrintStream out) throws IOException {
        String answer;
        try (Socket call = new Socket()) {
            call.connect(control, TIMEOUT_MILLIS);
            call.setSoTimeout(TIMEOUT_MILLIS);
            call.getOutputStream().write("members\n".getBytes(StandardCharsets.US_ASCII));
            answer = new String(call.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IOException(control.getHostString() + ":" + control.getPort() + ": " + e.getMessage(), e);
        }
        if (!answer.startsWith(OK) || !answer.endsWith(EOF)) {
            System.err.println("mintstair: the instance at " + control.getHostString() + ":" + control.getPort()
                    + " is no member of a fleet");
            return 1;
        }
        out.print(answer.substring(OK.length(), answer.length() - EOF.length()));
        out.flush();
        return 0;
    }
}
