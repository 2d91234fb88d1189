/**
 * The pacing of calls to the discovery service: how long a poll waits for changes, when a response is overdue, and the
 * delay before a retry. The package does no I/O, reads no clock and starts no thread, so that tests can run it in
 * virtual time.
 */
package mintstair.discovery.pace;
