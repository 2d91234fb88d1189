package mintstair.membership.swim;

/**
 * The size of the fleet as one member derives it from its view.
 *
 * @param largest largest size that was configured or observed
 * @param counted number of members that may be running and may themselves be settled, including this one
 * @param settled whether this member may use a share of one in {@code counted} of the fleet's common limits
 * @param hasQuorum whether more than half of the expected members are alive in this member's view
 */
public record ClusterSizeEstimate(int largest, int counted, boolean settled, boolean hasQuorum) {}
