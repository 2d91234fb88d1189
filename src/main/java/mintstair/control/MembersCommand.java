package mintstair.control;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** The command {@code members HOST:PORT}: prints the fleet as the proxy with this control address sees it. */
public final class MembersCommand {
    private static final int TIMEOUT_MILLIS = 5_000;
    private static final int NO_MEMBER_STATUS = 1;
    private static final String OK = "ok\n";
    private static final String EOF = "eof\n";

    private MembersCommand() {}

    /**
     * Prints the members.
     *
     * @return the exit status: 1 where the proxy is no member of a fleet
     * @throws IOException where no proxy responds, with its address
     */
    public static int run(InetSocketAddress control, PrintStream out) throws IOException {
        String response = call(control);
        if (!response.startsWith(OK) || !response.endsWith(EOF)) {
            System.err.println("mintstair: the instance at " + name(control) + " is no member of a fleet");
            return NO_MEMBER_STATUS;
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
