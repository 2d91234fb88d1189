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
 * A start that finds no socket is tried again. Each try opened a selector first, and lost it where no datagram socket
 * was to be had: three descriptors each, on a machine that is short of them.
 */
class MembershipSocketsTest {
    private static final InetSocketAddress LISTEN = new InetSocketAddress("127.0.0.1", 0);

    @Test
    void selectorIsClosedWhereNoDatagramSocketIsToBeHad() {
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
