/** Delays between retries, shared by all clients of this process. No I/O, no clock, no threads. */
package mintstair.retry;
