/**
 * What a proxy knows of a key-value registry and what it does to keep knowing it, without I/O: events of the wire and the time
 * come in, orders for the wire and changes of the host list go out. Neither clocks, threads nor sockets are seen here; a test
 * holds the package to it. {@link mintstair.registry.view.WatchView} follows a registry that streams changes by revision,
 * {@link mintstair.registry.view.PollView} one that answers blocking reads by index; what both share is in
 * {@link mintstair.registry.view.RegistryView}. All times are Unix microseconds.
 */
package mintstair.registry.view;
