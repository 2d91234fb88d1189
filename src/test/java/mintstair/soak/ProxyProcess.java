package mintstair.soak;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** One process of a proxy and the file that its output goes to. */
record ProxyProcess(Process process, Path log) {
    /** The status of a process that SIGTERM ended before it had installed its shutdown hook or served. */
    private static final int TERMINATED = 143;

    /** The status of a virtual machine that fails during its own initialization. */
    private static final int INITIALIZATION_FAILED = 1;

    private static final String INITIALIZATION_ERROR = "Error occurred during initialization of VM";

    /** The error of a virtual machine that SIGTERM reaches between two phases of its initialization. */
    private static final String INITIALIZATION_INTERRUPTED = "java.lang.InternalError: Bad level: ";

    private static final String VIRTUAL_MACHINE_WARNING = "[warning][cds";

    private static final String SERVING = "serving on ";

    /** Whether the process, which was sent SIGTERM and has ended, ended as one that was told to should. */
    boolean endedInOrder() throws IOException {
        return isOrderlyEnd(process.exitValue(), lines());
    }

    /** Returns the lines that the process has written. */
    List<String> lines() throws IOException {
        return Files.readAllLines(log, StandardCharsets.UTF_8);
    }

    /**
     * Whether a process that was sent SIGTERM may end with this status after writing these lines. Once it has served it
     * must end with status 0. Before, SIGTERM may end it by the handler of the virtual machine, or during the
     * initialization of the virtual machine, which then fails before any code of the program runs.
     */
    static boolean isOrderlyEnd(int status, List<String> lines) {
        return switch (status) {
            case 0 -> true;
            case TERMINATED -> lines.stream().noneMatch(line -> line.startsWith(SERVING));
            case INITIALIZATION_FAILED -> isInterruptedInitialization(lines);
            default -> false;
        };
    }

    /** Whether the virtual machine wrote that its initialization was interrupted, and the program wrote nothing. */
    private static boolean isInterruptedInitialization(List<String> lines) {
        List<String> written = lines.stream()
                .filter(line -> !line.isBlank() && !line.contains(VIRTUAL_MACHINE_WARNING))
                .toList();
        return written.size() >= 2
                && written.get(0).equals(INITIALIZATION_ERROR)
                && written.get(1).startsWith(INITIALIZATION_INTERRUPTED)
                && written.stream().skip(2).allMatch(line -> line.startsWith("\tat "));
    }
}
