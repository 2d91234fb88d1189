/** Computes the delays between retries for all clients in this process. Does no I/O and uses no clocks or threads. */
package mintstair.retry;
