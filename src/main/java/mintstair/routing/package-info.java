/**
 * The boundary between the network side and the decision module. The network side passes in
 * {@link mintstair.routing.RouterEvent events}, and each call returns the {@link mintstair.routing.RouterAction
 * actions} that follow from it. This package alone translates between the types of {@code mintstair.request} and those
 * of {@code mintstair.decision}, and keeps the state that only this translation needs: attempt numbers, timers and
 * invariant checks.
 *
 * <p>The code in this package does no I/O, reads no clock and starts no threads. All calls are made on the event loop,
 * which passes the current time.
 */
package mintstair.routing;
