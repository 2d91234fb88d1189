/**
 * The client of a key-value registry that holds the endpoint list. The package {@link mintstair.registry.view} is a
 * state machine without I/O. {@link mintstair.registry.RegistryClient} runs it on its own thread over a {@link
 * mintstair.registry.RegistryTransport}, which is implemented for etcd and for Consul. {@link
 * mintstair.registry.RegistryCommand} is the command line; it changes entries through a {@link
 * mintstair.registry.RegistryEditor}.
 */
package mintstair.registry;
