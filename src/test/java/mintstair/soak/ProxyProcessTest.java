package mintstair.soak;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Which ends of a process the soak accepts after SIGTERM. */
class ProxyProcessTest {
    private static final String WARNING =
            "[0.061s][warning][cds,dynamic] Unable to use shared archive. The top archive failed to load: mintstair.jsa";

    /** What a virtual machine wrote that SIGTERM reached during its initialization. */
    private static final List<String> INTERRUPTED_INITIALIZATION = List.of(
            WARNING,
            "Error occurred during initialization of VM",
            "java.lang.InternalError: Bad level: 2",
            "\tat jdk.internal.misc.VM.initLevel(java.base@17.0.21/VM.java:63)",
            "\tat java.lang.System.initPhase2(java.base@17.0.21/System.java:2183)",
            "",
            "");

    @Test
    void processThatHasServedEndsWithStatus0() {
        List<String> served = List.of(WARNING, "router: replica set 0: primary is h0", "serving on 127.0.0.1:42861");
        assertTrue(ProxyProcess.isOrderlyEnd(0, served));
        assertFalse(ProxyProcess.isOrderlyEnd(143, served));
        assertFalse(ProxyProcess.isOrderlyEnd(1, served));
    }

    @Test
    void processThatHasNotServedMayEndByTheSignal() {
        List<String> starting = List.of(WARNING, "router: replica set 0: primary is h0");
        assertTrue(ProxyProcess.isOrderlyEnd(143, starting));
        assertTrue(ProxyProcess.isOrderlyEnd(143, List.of()));
        assertFalse(ProxyProcess.isOrderlyEnd(137, starting));
        assertFalse(ProxyProcess.isOrderlyEnd(134, starting));
    }

    /** SIGTERM during the initialization of the virtual machine once made a soak fail, before any code of the program. */
    @Test
    void virtualMachineMayFailToInitializeIfItIsInterrupted() {
        assertTrue(ProxyProcess.isOrderlyEnd(1, INTERRUPTED_INITIALIZATION));
        assertFalse(ProxyProcess.isOrderlyEnd(2, INTERRUPTED_INITIALIZATION));
    }

    @Test
    void noOtherFailureOfAStartIsAccepted() {
        assertFalse(ProxyProcess.isOrderlyEnd(1, List.of()));
        assertFalse(ProxyProcess.isOrderlyEnd(1, List.of(WARNING)));
        assertFalse(ProxyProcess.isOrderlyEnd(
                1, List.of("Error occurred during initialization of VM", "Could not reserve enough space")));
        assertFalse(ProxyProcess.isOrderlyEnd(
                1,
                List.of("Exception in thread \"main\" java.lang.InternalError: Bad level: 2", "\tat X.y(X.java:1)")));
        List<String> programHasRun = new ArrayList<>(INTERRUPTED_INITIALIZATION);
        programHasRun.add(0, "router: replica set 0: primary is h0");
        assertFalse(ProxyProcess.isOrderlyEnd(1, programHasRun));
        List<String> anotherError = new ArrayList<>(INTERRUPTED_INITIALIZATION);
        anotherError.add("java.lang.OutOfMemoryError: Java heap space");
        assertFalse(ProxyProcess.isOrderlyEnd(1, anotherError));
    }
}
