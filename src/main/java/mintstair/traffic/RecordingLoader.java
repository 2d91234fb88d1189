package mintstair.traffic;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import mintstair.config.ConfigException;
import mintstair.pcap.DropCounters;

/**
 * Reads the recording that an operator names; what is wrong with it ends as a {@link ConfigException}. Reads once.
 */
final class RecordingLoader {
    /** What a request holds on the heap beside its message, about. */
    private static final int REQUEST_OVERHEAD_BYTES = 400;

    private final List<Path> files;
    private final boolean merge;
    private final Map<Integer, Recording.Protocol> ports;
    private final DropCounters drops;
    private final List<TimeLine> timeLines = new ArrayList<>();

    /** See {@link Recording#read} for the parameters. */
    RecordingLoader(List<Path> files, boolean merge, Map<Integer, Recording.Protocol> ports, DropCounters drops) {
        this.drops = drops;
        this.files = files;
        this.merge = merge;
        this.ports = ports;
    }

    /** Gives out each exchange; returns the number of connections. */
    int read(Consumer<RecordedExchange> output) {
        try {
            return Recording.read(files, merge, this::newTimeLine, ports, drops, output);
        } catch (NoSuchFileException e) {
            throw configException(e.getMessage() + ": no such file", e);
        } catch (IOException e) {
            throw configException(files.get(0) + ": " + e.getMessage(), e);
        }
    }

    private static ConfigException configException(String message, IOException cause) {
        return new ConfigException(message, cause);
    }

    private TimeLine newTimeLine() {
        TimeLine timeLine = new TimeLine(Long.MAX_VALUE);
        timeLines.add(timeLine);
        return timeLine;
    }

    /**
     * Returns all exchanges, in the order of their responses; more than half of the heap has room for is an error.
     */
    List<RecordedExchange> readAll() {
        ExchangeList list = new ExchangeList(files.get(0));
        read(list::add);
        return list.exchanges;
    }

    /** Exchanges within a limit of memory. */
    private static final class ExchangeList {
        private final Path firstFile;
        private final List<RecordedExchange> exchanges = new ArrayList<>();
        private long heapBytes;

        ExchangeList(Path firstFile) {
            this.firstFile = firstFile;
        }

        void add(RecordedExchange exchange) {
            heapBytes += exchange.message().length + REQUEST_OVERHEAD_BYTES;
            if (heapBytes > Runtime.getRuntime().maxMemory() / 2) {
                throw new ConfigException(
                        firstFile + ": more than half of the heap in requests; choose a part, or give more with -Xmx");
            }
            exchanges.add(exchange);
        }
    }

    /** What could not be used. */
    DropCounters drops() {
        return drops;
    }

    /** What was repaired of the files' timestamps, for the operator. */
    String describeRepairs() {
        String repairs = timeLines.stream()
                .map(TimeLine::repairs)
                .filter(text -> !text.isEmpty())
                .collect(Collectors.joining("; "));
        return repairs.isEmpty() ? "nothing" : repairs;
    }
}
