package mintstair.serve;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListeningSocketsTest {
    private static final int PORT = 0x1539;

    private static int count(List<String> table, String host) {
        return ListeningSockets.count(table, new InetSocketAddress(host, PORT));
    }

    /** Two sockets listen on the address; a connection and sockets on another port or address are not counted. */
    @Test
    void onlySocketsThatListenOnTheAddressAreCounted() {
        List<String> table = List.of(
                "  sl  local_address rem_address   st tx_queue rx_queue",
                "   0: 0100087F:1539 00000000:0000 0A 00000000:00000000",
                "   1: 0100087F:1539 00000000:0000 0A 00000000:00000000",
                "   2: 0100087F:1539 0100007F:C350 01 00000000:00000000",
                "   3: 0100097F:1539 00000000:0000 0A 00000000:00000000",
                "   4: 0100087F:1538 00000000:0000 0A 00000000:00000000",
                "");

        assertEquals(2, count(table, "127.8.0.1"));
        assertEquals(1, count(table, "127.9.0.1"));
        assertEquals(0, count(table, "127.7.0.1"));
    }

    /** A dual-stack process listens on an IPv4 address with an IPv6 socket, which the IPv6 table contains. */
    @Test
    void ipv4MappedAndIpv6SocketsAreCounted() {
        List<String> table = List.of(
                "  sl  local_address                         remote_address                        st tx_queue rx_queue",
                "   0: 0000000000000000FFFF00000100007F:1539 00000000000000000000000000000000:0000 0A 00000000:00000000",
                "   1: 00000000000000000000000001000000:1539 00000000000000000000000000000000:0000 0A 00000000:00000000",
                "   2: 0000000000000000FFFF00000100007F:1539 0000000000000000FFFF00000100007F:C350 01 00000000:00000000");

        assertEquals(1, count(table, "127.0.0.1"));
        assertEquals(1, count(table, "::1"));
    }
}
