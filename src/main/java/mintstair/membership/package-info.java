/**
 * A member of the fleet on the network: datagrams, connections that check whether a process is there, a thread and a clock around
 * {@link mintstair.membership.swim.Swim}. Off unless an operator sets it up.
 */
package mintstair.membership;
