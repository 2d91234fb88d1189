package mintstair.control;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The command {@code members HOST:PORT}: prints the fleet as seen by the proxy with this control address. */
public final class MembersCommand {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int NOT_A_MEMBER_STATUS = 1;
    private static final String OK = "ok\n";
    private static final String EOF = "eof\n";

    private MembersCommand() {}

    /**
     * Prints the members of the fleet.
     *
     * @return the exit status: 0, or 1 if the proxy is not a member of a fleet
     * @throws IOException if no proxy responds; the message contains the address
     */
    public static int run(InetSocketAddress control, PrintStream out) throws IOException {
        String response = call(control);
        if (!response.startsWith(OK) || !response.endsWith(EOF)) {
            System.err.println("mintstair: the proxy at " + name(control) + " is not a member of a fleet");
            return NOT_A_MEMBER_STATUS;
        }
        out.print(response.substring(OK.length(), response.length() - EOF.length()));
        out.flush();
        return 0;
    }

    private static String call(InetSocketAddress control) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(control, TIMEOUT_MILLIS);
            socket.setSoTimeout(TIMEOUT_MILLIS);
            socket.getOutputStream().write("members\n".getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new IOException(name(control) + ": " + e.getMessage(), e);
        }
    }

    private static String name(InetSocketAddress control) {
        return control.getHostString() + ":" + control.getPort();
    }
}
