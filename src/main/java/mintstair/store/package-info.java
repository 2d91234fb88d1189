/**
 * The replicated key-value store of the daemons' configuration and state: a Raft group on Apache Ratis.
 *
 * <p>{@link mintstair.store.Store} is the entry point: a member of the group, or a client from outside it. The leader
 * of the Raft group orders all writes; {@code KeyValueStateMachine} applies them on each member, and
 * {@code StoreSnapshot} holds the entries up to some log index, so that the log can be truncated. No request of a
 * client of the proxy waits for the store.
 */
package mintstair.store;
