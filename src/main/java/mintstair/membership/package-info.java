/**
 * Runs the membership protocol on the network: one thread drives {@link mintstair.membership.swim.Swim} with a clock, a
 * datagram socket and TCP connections. Disabled unless the operator's file configures it; docs/membership.md describes
 * its operation.
 *
 * <p>{@link mintstair.membership.FleetMember} is the entry point. After its construction, the other classes of the
 * package are used only by its thread, except for formatting the members report.
 */
package mintstair.membership;
