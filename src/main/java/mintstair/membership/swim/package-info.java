/**
 * SWIM group membership with Lifeguard's refinements: the protocol of one member as a deterministic state machine. It
 * performs no I/O, and its caller supplies the time and the random seed.
 *
 * <p>{@link mintstair.membership.swim.Swim} is the entry point. It combines the components of the SWIM paper, failure
 * detection ({@code FailureDetector}) and dissemination ({@code GossipQueue}, {@code MessageSender}), with anti-entropy
 * ({@code AntiEntropy}) as in later implementations. They share the {@code MemberTable}.
 *
 * <p>Times are in microseconds of the caller's monotonic clock. The state machine is not thread-safe: all calls must be
 * made on one thread. Messages, views and counters are immutable records. docs/design-membership.md describes the
 * protocol.
 */
package mintstair.membership.swim;
