/**
 * The decisions of the proxy: which endpoint serves a request, whether it is tried again, whether it is rejected.
 *
 * <p>{@link mintstair.decision.ReadWriteSplitter} receives events ({@link mintstair.decision.Router}) and takes actions
 * ({@link mintstair.decision.RouterActions}). It delegates to one class a job; each of those owns its state. Nothing
 * here does I/O, reads a clock or starts a thread: the caller gives the time with each event, in microseconds, and
 * calls must not overlap. Chance comes from one seeded generator, so that the same events give the same actions;
 * {@code DecisionDigestTest} pins them.
 */
package mintstair.decision;
