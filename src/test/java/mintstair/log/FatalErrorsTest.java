package mintstair.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import mintstair.proxy.EventLoop;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against processes that stay, without serving, after an error of the virtual machine. */
class FatalErrorsTest {
    private static final int ENDED_IN_ORDER = 0;
    private static final int TIMEOUT_SECONDS = 20;

    /** The process under test: fails in the place that its argument names, and otherwise never ends. */
    static final class FailingProcess {
        public static void main(String[] place) throws InterruptedException {
            NonBlockingOutput.install();
            FatalErrors.install();
            EventLoop loop = new EventLoop();
            switch (place[0]) {
                case "loop" -> loop.execute(FailingProcess::fillHeap);
                case "task" -> loop.execute(new GuardedTask("test", FailingProcess::fillHeap));
                case "thread" -> new Thread(FailingProcess::fillHeap).start();
                default -> {
                    loop.execute(FailingProcess::overflowStack);
                    loop.execute(() -> Runtime.getRuntime().halt(ENDED_IN_ORDER));
                }
            }
            new CountDownLatch(1).await();
        }

        private static void fillHeap() {
            byte[][] held = new byte[Integer.MAX_VALUE / 1024][];
            for (int i = 0; i < held.length; i++) {
                held[i] = new byte[1024];
            }
        }

        private static void overflowStack() {
            throw new StackOverflowError();
        }
    }

    private static Process start(String place) throws IOException {
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        String classPath = System.getProperty("java.class.path");
        List<String> command =
                List.of(java, "-XX:+UseSerialGC", "-Xmx32m", "-cp", classPath, FailingProcess.class.getName(), place);
        return new ProcessBuilder(command).redirectErrorStream(true).start();
    }

    private static String output(Process process) throws IOException, InterruptedException {
        boolean ended = process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS);
        if (!ended) {
            process.destroyForcibly();
        }
        assertTrue(ended, "the process has ended");
        return new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    @ParameterizedTest
    @ValueSource(strings = {"loop", "task", "thread"})
    void processEndsAtOnceWithOneLine(String place) throws Exception {
        Process process = start(place);
        String output = output(process);
        assertEquals(FatalErrors.EXIT_STATUS, process.exitValue(), output);
        assertEquals("fatal: java.lang.OutOfMemoryError: Java heap space; the process ends\n", output);
    }

    @Test
    void stackOverflowEndsItsTaskAlone() throws Exception {
        Process process = start("recursion");
        String output = output(process);
        assertEquals(ENDED_IN_ORDER, process.exitValue(), output);
    }
}
