package mintstair.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.Selector;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a descriptor leak. A failed start is retried, and each attempt opens a selector before the datagram
 * socket. If the selector were not closed when opening the socket fails, each attempt would leak three descriptors on a
 * machine that is already short of them.
 */
class MembershipSocketsTest {
    private static final InetSocketAddress LISTEN = new InetSocketAddress("127.0.0.1", 0);

    @Test
    void closesTheSelectorIfNoDatagramSocketCanBeOpened() {
        List<Selector> opened = new ArrayList<>();
        assertThrows(
                IOException.class,
                () -> MembershipSockets.bind(LISTEN, "m", null, selector -> {
                    opened.add(selector);
                    throw new IOException("Too many open files");
                }));
        assertEquals(1, opened.size());
        assertEquals(false, opened.get(0).isOpen());
    }
}
