/**
 * The proxy's metrics: {@link mintstair.stats.Counters} count events as they happen, a
 * {@link mintstair.stats.MetricsSnapshot} holds the values of one moment for the control address and the clients'
 * counter commands. Metric names are read by other programs and do not change with the names in the code.
 */
package mintstair.stats;
