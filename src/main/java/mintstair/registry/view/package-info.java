/**
 * A replica of a key-value registry's endpoint lists, and the protocols that keep it current. All classes are state
 * machines without I/O, clock or threads: their input is events of the connection and the time, their output is calls
 * to the connection and updates for the rest of the program. A test ensures this.
 *
 * <p>{@link mintstair.registry.view.WatchView} follows a registry that streams changes by revision (etcd), {@link
 * mintstair.registry.view.PollView} one that answers blocking queries by index (Consul); {@link
 * mintstair.registry.view.RegistryView} is their common base. All times are Unix time in microseconds, all durations
 * are in microseconds.
 */
package mintstair.registry.view;
