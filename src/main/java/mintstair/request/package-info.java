/**
 * The protocol-independent model of requests, hosts and responses that fronts, the router and backends exchange. Most
 * types are immutable; the exception is {@link mintstair.request.Exchange}, whose state belongs to the event loop.
 *
 * <p>All times are microseconds. Points in time are Unix time, as read from the event loop's clock.
 */
package mintstair.request;
