/**
 * The control address: one command a connection, for the platform and the engineers on call, and the {@code members}
 * command that calls it. It has a listener and a thread of its own, so that it responds whatever state the event loop
 * is in.
 */
package mintstair.control;
