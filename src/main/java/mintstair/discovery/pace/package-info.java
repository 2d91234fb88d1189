/**
 * When discovery is polled: how long a poll waits, when a response is overdue, and the delay before a retry. No I/O, no
 * clock, no threads: the tests run it in virtual time.
 */
package mintstair.discovery.pace;
