package mintstair.pins;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import mintstair.program.Program;

/**
 * The program as a process of its own, started by its main class alone; standard output and standard error are kept
 * apart.
 */
final class ProgramRun implements AutoCloseable {
    private static final String MAIN = "mintstair.Main";
    private static final int LONGEST_SECONDS = 30;
    private final Process process;
    private final Path out;
    private final Path err;

    /** Starts it with these arguments; {@code in} is what standard input holds. */
    ProgramRun(String in, List<String> arguments) throws IOException {
        Path folder = Files.createTempDirectory("mintstair");
        out = folder.resolve("out");
        err = folder.resolve("err");
        File input = Files.writeString(folder.resolve("in"), in).toFile();
        List<String> command = new ArrayList<>(List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xmx64m",
                "-cp",
                System.getProperty("java.class.path"),
                MAIN));
        command.addAll(arguments);
        ProcessBuilder builder = new ProcessBuilder(command)
                .redirectInput(input)
                .redirectOutput(out.toFile())
                .redirectError(err.toFile());
        builder.environment().keySet().removeIf(name -> name.startsWith("NODE_"));
        process = builder.start();
    }

    ProgramRun(String... arguments) throws IOException {
        this("", List.of(arguments));
    }

    /** Waits for its end and gives its status. */
    int exit() throws InterruptedException, IOException {
        if (!process.waitFor(LONGEST_SECONDS, TimeUnit.SECONDS)) {
            throw new AssertionError("the program does not end: " + out() + err());
        }
        return process.exitValue();
    }

    String out() throws IOException {
        return Files.readString(out);
    }

    String err() throws IOException {
        return Files.readString(err);
    }

    /** Waits for a line on standard output that begins so, and gives what follows its beginning. */
    String awaitLine(String beginning) throws IOException {
        Program.await(() -> !lines(beginning).isEmpty(), beginning);
        return lines(beginning).get(0).substring(beginning.length());
    }

    private List<String> lines(String beginning) {
        try {
            String whole = out();
            return whole.substring(0, whole.lastIndexOf('\n') + 1)
                    .lines()
                    .filter(line -> line.startsWith(beginning))
                    .toList();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.toHandle().destroy();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
