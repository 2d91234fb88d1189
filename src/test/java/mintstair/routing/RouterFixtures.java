package mintstair.routing;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import mintstair.config.InstanceSettings;
import mintstair.config.Json;
import mintstair.program.Program;
import mintstair.request.EndpointList;

/** Creates routers with the settings that the program tests use, and endpoints for them. */
public final class RouterFixtures {
    private static final long SEED = 1;

    private RouterFixtures() {}

    /** Creates a router that has no endpoints yet and sends no health checks. */
    public static RequestRouter router(long nowMicros) {
        String settings = Program.SETTINGS.replace("PROBING", "false");
        byte[] json = settings.getBytes(StandardCharsets.UTF_8);
        try {
            return new RequestRouter(nowMicros, SEED, new InstanceSettings((Map<?, ?>) Json.read(json)));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Creates the entry of a primary of cluster 1. */
    public static EndpointList.Entry primary(String host, EndpointList.State state) {
        return new EndpointList.Entry(host, "127.0.0.1:9", "z", 1, state, true, 1, 0);
    }
}
