package mintstair.registry.view;

import java.util.Map;

/**
 * One moment of a view, for people. {@code age}: microseconds since the registry last showed that nothing is missing, -1 for
 * never; {@code counts}: events since the start by name.
 */
public record ViewMetrics(
        long cluster,
        long revision,
        long age,
        boolean live,
        int hosts,
        long digest,
        int endpoint,
        long brokenAt,
        String brokenWhy,
        Map<String, Long> counts) {}
