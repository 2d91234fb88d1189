package mintstair.registry.view;

import mintstair.request.EndpointList;

/** An output of a view for the rest of the program. All updates of one step take effect together. */
public sealed interface ViewUpdate {
    /**
     * The endpoints of a front, as a snapshot or a delta.
     *
     * @param cached whether the list is from the snapshot of an earlier run and not yet confirmed by the registry
     */
    record Endpoints(String front, EndpointList list, boolean cached) implements ViewUpdate {}

    /** The settings as they were put into the registry, not yet validated. */
    record Settings(byte[] text, long revision) implements ViewUpdate {}

    /** A line for the log, which is already rate-limited. */
    record LogLine(String text) implements ViewUpdate {}
}
