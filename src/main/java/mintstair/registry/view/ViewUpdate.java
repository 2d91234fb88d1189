package mintstair.registry.view;

import mintstair.request.EndpointList;

/** What a view has for the rest of the program. All updates of one step take effect together. */
public sealed interface ViewUpdate {
    /**
     * Endpoints of a front, as a snapshot or a delta.
     *
     * @param cached whether the list is the last run's, not yet confirmed by the registry
     */
    record Endpoints(String front, EndpointList list, boolean cached) implements ViewUpdate {}

    /** Settings as they were put into the registry, not validated. */
    record Settings(byte[] text, long revision) implements ViewUpdate {}

    /** A line for the log; its rate is limited already. */
    record LogLine(String text) implements ViewUpdate {}
}
