package mintstair.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;

/**
 * Pins the decisions of the router: the digests of the actions recorded by {@link DecisionSchedule} with each of {@link
 * DecisionSettings} must equal those in the resource file. A refactoring that changes a decision or a random draw fails
 * this test.
 *
 * <p>A change that is meant to alter decisions rewrites the resource file with {@code mvn test
 * -Dtest=DecisionDigestTest -Ddecision.digests.renew=true}, and its commit message gives the reason. With {@code
 * -Ddecision.records=true} the records are written to {@code target/decision-records}, so that those of two builds can
 * be compared line by line.
 */
class DecisionDigestTest {
    private static final Path DIGESTS = Path.of("src/test/resources/mintstair/decision/decision-digests.txt");
    private static final Path RECORDS = Path.of("target/decision-records");
    private static final int SEEDS = 4;
    private static final int MIN_EVENTS = 5_000;

    @Test
    void decisionsMatchPinnedDigests() throws IOException {
        List<String> digests = new ArrayList<>();
        for (DecisionSettings settings : DecisionSettings.values()) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                DecisionSchedule schedule = new DecisionSchedule(seed, settings.settings());
                List<String> record = schedule.play();
                assertTrue(
                        schedule.eventsPlayed() >= MIN_EVENTS,
                        settings + ", seed " + seed + ": only " + schedule.eventsPlayed() + " events were played");
                writeRecord(settings + "-" + seed, record);
                digests.add(settings + " " + seed + " " + record.size() + " " + digest(record));
            }
        }
        if (Boolean.getBoolean("decision.digests.renew")) {
            Files.write(DIGESTS, digests);
        }
        assertEquals(String.join("\n", Files.readAllLines(DIGESTS)), String.join("\n", digests));
    }

    /** Guards against schedules whose digests pin less than intended because the router never takes some action. */
    @Test
    void schedulesContainEveryKindOfAction() {
        Set<String> recorded = new TreeSet<>();
        for (DecisionSettings settings : DecisionSettings.values()) {
            for (String line : new DecisionSchedule(1, settings.settings()).play()) {
                recorded.add(line.split(" ")[1]);
            }
        }
        assertTrue(
                recorded.containsAll(List.of("send", "cancel", "refuse", "fail", "probe", "timer", "subscribe")),
                recorded.toString());
    }

    private static void writeRecord(String name, List<String> record) throws IOException {
        if (Boolean.getBoolean("decision.records")) {
            Files.createDirectories(RECORDS);
            Files.write(RECORDS.resolve(name + ".txt"), record);
        }
    }

    private static String digest(List<String> record) {
        try {
            byte[] text = String.join("\n", record).getBytes(StandardCharsets.UTF_8);
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
