package mintstair.bench;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryKeys;
import mintstair.registry.view.RegistryPosition;
import mintstair.registry.view.RegistryView;
import mintstair.registry.view.ViewLimits;
import mintstair.registry.view.ViewTimeouts;
import mintstair.registry.view.WatchView;

/** The heap that a view of so many hosts holds, after collection. */
final class ViewHeap {
    private ViewHeap() {}

    static long bytes(int hosts) {
        long before = used();
        RegistryView view = new WatchView(
                new RegistryKeys("reg/", List.of("postgresql")), ViewLimits.DEFAULT, ViewTimeouts.DEFAULT, 3, 1);
        RegistryCall.Read read = (RegistryCall.Read) view.start(0, null).calls().get(0);
        List<RegistryEntry> items = new ArrayList<>();
        for (int i = 0; i < hosts; i++) {
            String value = "{\"uid\":\"h" + i
                    + "\",\"endpoint\":\"127.0.0.1:5432\",\"az\":\"a\",\"model\":\"m2\",\"pod_group\":1,"
                    + "\"state\":\"SERVING\",\"capacity_hint\":1.0,\"boot_ms\":0,\"rank\":\"copy\"}";
            items.add(new RegistryEntry(
                    "reg/postgresql/hosts/h" + i, value.getBytes(StandardCharsets.UTF_8), i + 1, i + 1));
        }
        view.on(0, new RegistryEvent.Page(read.callId(), new RegistryPosition(1, hosts + 1, 1), items, false));
        items = null;
        long after = used();
        if (view.metrics(0).hosts() != hosts) {
            throw new AssertionError("a view of " + view.metrics(0).hosts());
        }
        return after - before;
    }

    private static long used() {
        for (int i = 0; i < 4; i++) {
            System.gc();
        }
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }
}
