/**
 * A member of the fleet on the network: one thread that drives {@link mintstair.membership.swim.Swim} with a clock, a
 * datagram socket and connections. Off unless the operator's file configures it; docs/membership.md is its manual.
 *
 * <p>{@link mintstair.membership.FleetMember} is the entry point. All other classes of the package are used by its
 * thread only.
 */
package mintstair.membership;
