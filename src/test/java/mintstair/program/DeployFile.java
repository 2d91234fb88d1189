package mintstair.program;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** The deploy file, which tells how the platform starts a proxy. */
public final class DeployFile {
    private static final Path FILE = Path.of("deploy", "balancer.toml");
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");

    private DeployFile() {}

    /** The shell's line that starts one proxy, with the classes under test in place of the jar. */
    public static String runClassesUnderTest() throws IOException {
        return run().replace(
                        "-jar target/mintstair.jar",
                        "-cp " + System.getProperty("java.class.path") + " mintstair.Main");
    }

    /** Whether the shell has become the virtual machine. */
    public static boolean isVirtualMachine(Process process) {
        return process.info()
                .command()
                .map(command -> Path.of(command).endsWith("java"))
                .orElse(false);
    }

    private static String run() throws IOException {
        Matcher line = RUN.matcher(Files.readString(FILE));
        if (!line.find()) {
            throw new IOException(FILE + " has no run");
        }
        return line.group(1);
    }
}
