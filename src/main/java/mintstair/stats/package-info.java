/**
 * The proxy's metrics: {@link mintstair.stats.Counters} counts events as they occur, and a
 * {@link mintstair.stats.MetricsSnapshot} holds the values at one point in time for the control address. Metric names
 * are an interface to other programs and do not change with the names in the code.
 */
package mintstair.stats;
