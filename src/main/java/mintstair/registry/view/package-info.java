/**
 * A replica of a key-value registry's endpoint list, and the protocol that keeps it current. Everything here is a state
 * machine without I/O, clock or threads: events of the connection and the time go in, calls for the connection and
 * updates for the rest of the program come out. A test holds the package to that.
 *
 * <p>{@link mintstair.registry.view.WatchView} follows a registry that streams changes by revision (etcd), {@link
 * mintstair.registry.view.PollView} one that answers blocking queries by index (Consul); {@link
 * mintstair.registry.view.RegistryView} is what both have in common. All times are Unix microseconds, all spans
 * microseconds.
 */
package mintstair.registry.view;
