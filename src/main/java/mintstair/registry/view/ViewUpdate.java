package mintstair.registry.view;

import mintstair.request.EndpointList;

/** What the rest of the program is told. All that one step tells takes effect together. */
public sealed interface ViewUpdate {
    /** Hosts of this front; {@code old} where the list comes from the last snapshot. */
    record Endpoints(String front, EndpointList list, boolean old) implements ViewUpdate {}

    /** The settings that the registry holds, as they were put there: not checked yet. */
    record Settings(byte[] text, long revision) implements ViewUpdate {}

    /** A line for the log; already limited in number. */
    record LogLine(String text) implements ViewUpdate {}
}
