package mintstair.registry.view;

import java.util.List;

/** A whole view as it is kept over restarts: where the registry's history stood, when that was known, and what there was. */
public record Snapshot(String prefix, long cluster, long revision, long term, long heard, List<Item> items) {}
