package mintstair.membership.swim;

/**
 * What one member may conclude from its view about the size of the fleet.
 *
 * @param largest the largest size that was configured or observed
 * @param counted members that may run and may themselves be settled, this one included
 * @param settled whether this member may use its share among the {@code counted} ones
 * @param hasQuorum whether this member sees more than half of the expected members alive
 */
public record ClusterSizeEstimate(int largest, int counted, boolean settled, boolean hasQuorum) {}
