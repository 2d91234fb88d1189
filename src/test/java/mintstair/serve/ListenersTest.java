package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListenersTest {
    /** A successor counts, neither a connection nor another port or address does. */
    @Test
    void socketsThatListenOnTheAddressAreCounted() {
        List<String> table = List.of(
                "  sl  local_address rem_address   st tx_queue rx_queue",
                "   0: 0100087F:1539 00000000:0000 0A 00000000:00000000",
                "   1: 0100087F:1539 00000000:0000 0A 00000000:00000000",
                "   2: 0100087F:1539 0100007F:C350 01 00000000:00000000",
                "   3: 0100097F:1539 00000000:0000 0A 00000000:00000000",
                "   4: 0100087F:1538 00000000:0000 0A 00000000:00000000",
                "");
        assertEquals(2, Listeners.count(table, new InetSocketAddress("127.8.0.1", 0x1539)));
        assertEquals(1, Listeners.count(table, new InetSocketAddress("127.9.0.1", 0x1539)));
        assertEquals(0, Listeners.count(table, new InetSocketAddress("127.7.0.1", 0x1539)));
    }

    /** A process that speaks both versions of IP listens on an IPv4 address by a socket of IPv6, which the other table has. */
    @Test
    void socketsOfTheOtherVersionAreCounted() {
        List<String> table = List.of(
                "  sl  local_address                         remote_address                        st tx_queue rx_queue",
                "   0: 0000000000000000FFFF00000100007F:1539 00000000000000000000000000000000:0000 0A 00000000:00000000",
                "   1: 00000000000000000000000001000000:1539 00000000000000000000000000000000:0000 0A 00000000:00000000",
                "   2: 0000000000000000FFFF00000100007F:1539 0000000000000000FFFF00000100007F:C350 01 00000000:00000000");
        assertEquals(1, Listeners.count(table, new InetSocketAddress("127.0.0.1", 0x1539)));
        assertEquals(1, Listeners.count(table, new InetSocketAddress("::1", 0x1539)));
    }
}
