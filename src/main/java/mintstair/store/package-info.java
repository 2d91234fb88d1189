/**
 * The replicated key-value store for the configuration and state of the daemons: a Raft group on Apache Ratis.
 *
 * <p>{@link mintstair.store.Store} is the entry point: a member of the group, or a client that is not a member. The
 * leader of the Raft group orders all writes, {@code KeyValueStateMachine} applies them on each member, and {@code
 * StoreSnapshot} stores the entries up to a log index, so that the log can be truncated. No client request of the proxy
 * waits for the store.
 */
package mintstair.store;
