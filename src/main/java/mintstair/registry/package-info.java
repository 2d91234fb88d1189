/**
 * The client of a key-value registry that holds the endpoint list. {@link mintstair.registry.view} is the state machine
 * without I/O; {@link mintstair.registry.RegistryClient} runs it on a thread of its own over a {@link
 * mintstair.registry.RegistryTransport}, of which there is one for etcd and one for Consul. {@link
 * mintstair.registry.RegistryCommand} is the command line, which changes entries by a {@link
 * mintstair.registry.RegistryEditor}.
 */
package mintstair.registry;
