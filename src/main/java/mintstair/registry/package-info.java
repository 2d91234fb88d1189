/**
 * The client of a key-value registry that holds the host list: {@link mintstair.registry.view} knows and decides, without I/O;
 * {@link mintstair.registry.RegistryClient} runs it on a thread of its own over a {@link mintstair.registry.RegistryWire}, of
 * which there are two.
 */
package mintstair.registry;
