/**
 * Who is in the fleet, as one member sees it: SWIM with Lifeguard's refinements as a state machine without I/O, clock or chance of
 * its own. Times are microseconds on the caller's clock, which never goes back; all calls come from one thread.
 */
package mintstair.membership.swim;
