/**
 * SWIM group membership with Lifeguard's refinements, as one member runs it: a deterministic state machine without
 * I/O, clock or random source of its own.
 *
 * <p>{@link mintstair.membership.swim.Swim} is the entry point. Behind it stand the parts of the SWIM paper: failure
 * detection ({@code FailureDetector}), dissemination ({@code GossipQueue}, {@code MessageSender}) and, as in later
 * implementations, anti-entropy ({@code AntiEntropy}); {@code MemberTable} holds what they agree on.
 *
 * <p>Times are microseconds on the caller's monotonic clock. No class here is thread-safe: all calls come from one
 * thread. docs/design-membership.md describes the protocol.
 */
package mintstair.membership.swim;
