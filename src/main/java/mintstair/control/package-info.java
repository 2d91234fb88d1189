/**
 * The control address, on which the platform and operators send one command per connection, and the {@code members}
 * command, its client. It has its own listener and thread, so that it responds regardless of the state of the event
 * loop.
 */
package mintstair.control;
