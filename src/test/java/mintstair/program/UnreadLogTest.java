package mintstair.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mintstair.standin.Client;
import mintstair.standin.Discovery;
import mintstair.standin.PgHost;
import org.junit.jupiter.api.Test;

/** Whoever collects the log has stopped reading it, and its pipe is full: clients are served all the same. */
class UnreadLogTest {
    /** Each logs a line on the loop; all together are far more than a pipe holds. */
    private static final int RELOADS = 2_000;

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return free.getLocalPort();
        }
    }

    private static Client.Pg connect(int port) {
        Client.Pg[] made = new Client.Pg[1];
        Program.await(
                () -> {
                    try {
                        made[0] = new Client.Pg(port);
                        return true;
                    } catch (IOException e) {
                        return false;
                    }
                },
                "a connection");
        return made[0];
    }

    @Test
    void logThatNobodyReadsHoldsUpNobody() throws Exception {
        int port = freePort();
        try (PgHost primary = new PgHost("p", true, System.currentTimeMillis() + 3_600_000);
                Discovery discovery = new Discovery(primary.listed("SERVING"))) {
            Path config = Files.createTempDirectory("mintstair").resolve("config.json");
            Files.writeString(config, Program.config(port, discovery.port(), primary.listed("SERVING"), false));
            Process proxy = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1",
                            "-Xmx64m",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "mintstair.Main",
                            "serve",
                            config.toString())
                    .redirectErrorStream(true)
                    .start();
            try (Client.Pg client = connect(port)) {
                assertEquals("served before", client.ask(true, "id=before,c=write,cluster=1", 5_000));
                // As fast as they are taken in: a signal that comes while one waits is lost.
                Process signals = new ProcessBuilder(List.of(
                                "sh",
                                "-c",
                                "for i in $(seq " + RELOADS + "); do kill -HUP " + proxy.pid() + "; sleep 0.002; done"))
                        .start();
                assertEquals(true, signals.waitFor(60, TimeUnit.SECONDS));
                assertEquals("served after", client.ask(true, "id=after,c=write,cluster=1", 5_000));
            } finally {
                proxy.destroyForcibly();
            }
        }
    }
}
