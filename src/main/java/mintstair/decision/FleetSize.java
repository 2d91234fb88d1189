package mintstair.decision;

/**
 * How many routers there are, as far as this one knows: the largest number observed or configured, those that may
 * run and know of each other, and whether this one is {@code settled}: only if all that are so count each
 * other.
 */
public record FleetSize(int largest, int counted, boolean settled) {}
