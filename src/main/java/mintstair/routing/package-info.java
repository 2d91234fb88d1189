/**
 * The boundary between the network side and the decision module: {@link mintstair.routing.RouterEvent events} go in,
 * {@link mintstair.routing.RouterAction actions} come out of the same call. This package alone translates between the
 * terms of {@code mintstair.request} and those of {@code mintstair.decision}, and keeps what only this translation
 * needs: attempt numbers, timers, and the invariant checks.
 *
 * <p>Nothing here does I/O, reads a clock or starts a thread; all calls come from the event loop, which passes the
 * time.
 */
package mintstair.routing;
