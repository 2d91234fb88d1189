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
 * Pins the decisions: the actions of {@link DecisionSchedule} under each of {@link DecisionSettings} have to be those
 * whose digests stand in the resource, random draws included, so that a refactoring is known to decide as the code
 * before it did.
 *
 * <p>A change that means to decide otherwise renews the resource with {@code mvn test -Dtest=DecisionDigestTest
 * -Ddecision.digests.renew=true} and says in its commit why. The records themselves go to {@code
 * target/decision-records} where {@code -Ddecision.records=true} is given, so that those of two builds can be
 * compared line by line.
 */
class DecisionDigestTest {
    private static final Path DIGESTS = Path.of("src/test/resources/mintstair/decision/decision-digests.txt");
    private static final Path RECORDS = Path.of("target/decision-records");
    private static final int SEEDS = 4;
    private static final int LEAST_EVENTS = 5_000;

    @Test
    void decisionsAreThoseOfThePinnedBuild() throws IOException {
        List<String> digests = new ArrayList<>();
        for (DecisionSettings settings : DecisionSettings.values()) {
            for (int seed = 1; seed <= SEEDS; seed++) {
                DecisionSchedule schedule = new DecisionSchedule(seed, settings.settings());
                List<String> record = schedule.play();
                assertTrue(schedule.played() >= LEAST_EVENTS, settings + " played " + schedule.played() + " events");
                keep(settings + "-" + seed, record);
                digests.add(settings + " " + seed + " " + record.size() + " " + digest(record));
            }
        }
        if (Boolean.getBoolean("decision.digests.renew")) {
            Files.write(DIGESTS, digests);
        }
        assertEquals(String.join("\n", Files.readAllLines(DIGESTS)), String.join("\n", digests));
    }

    /** Guards against schedules that pin nothing, as they never reach some of the module's actions. */
    @Test
    void schedulesReachEveryAction() {
        Set<String> reached = new TreeSet<>();
        for (DecisionSettings settings : DecisionSettings.values()) {
            for (String line : new DecisionSchedule(1, settings.settings()).play()) {
                reached.add(line.split(" ")[1]);
            }
        }
        assertTrue(
                reached.containsAll(List.of("send", "cancel", "refuse", "fail", "probe", "timer", "subscribe")),
                reached.toString());
    }

    private static void keep(String name, List<String> record) throws IOException {
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
