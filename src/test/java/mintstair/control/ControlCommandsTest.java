package mintstair.control;

import static org.junit.jupiter.api.Assertions.assertEquals;

import mintstair.stats.MetricsSnapshot;
import org.junit.jupiter.api.Test;

class ControlCommandsTest {
    private final ControlCommands commands = new ControlCommands(
            () -> new MetricsSnapshot.Builder().add("taken", 3).build());

    @Test
    void readyzReturnsTheReadinessThatWasSet() {
        assertEquals("fail\n", commands.respond("readyz"));

        commands.setReady(true);
        assertEquals("ok\n", commands.respond("readyz"));

        commands.setReady(false);
        assertEquals("fail\n", commands.respond("readyz"));
    }

    @Test
    void telemetryReturnsTheLatestSnapshot() {
        assertEquals("ok\nsvc.taken=3\neof\n", commands.respond("telemetry\r"));
    }

    @Test
    void membersFailsUnlessMemberOfAFleet() {
        assertEquals("fail\n", commands.respond("members"));

        commands.setMembers(() -> "member a\n");
        assertEquals("ok\nmember a\neof\n", commands.respond("members"));
    }

    @Test
    void unknownCommandReturnsFail() {
        assertEquals("fail\n", commands.respond("shutdown"));
        assertEquals("fail\n", commands.respond(""));
    }
}
