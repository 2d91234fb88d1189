package mintstair.registry.view;

import mintstair.request.EndpointList;

/** What the rest of the program is told. All that one step tells takes effect together. */
public sealed interface Told {
    /** Hosts of this front; {@code old} where the list comes from the last snapshot. */
    record Hosts(String front, EndpointList list, boolean old) implements Told {}

    /** The settings that the registry holds, as they were put there: not checked yet. */
    record Settings(byte[] text, long revision) implements Told {}

    /** A line for the log; already limited in number. */
    record Line(String text) implements Told {}
}
