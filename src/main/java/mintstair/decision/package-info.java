/**
 * The decisions of the proxy: which endpoint serves a request, and whether the request is retried or rejected.
 *
 * <p>{@link mintstair.decision.ReadWriteSplitter} receives events ({@link mintstair.decision.Router}) and takes actions
 * ({@link mintstair.decision.RouterActions}). It delegates to one class for each responsibility, which owns the state
 * for it. Nothing here does I/O, reads a clock or starts a thread: the caller passes the time with each event, in
 * microseconds, and calls must not overlap. All random numbers are drawn from one seeded generator, so that the same
 * events lead to the same actions; {@code DecisionDigestTest} verifies that.
 */
package mintstair.decision;
