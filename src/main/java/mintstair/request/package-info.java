/**
 * What fronts, router and backends say to each other about requests, hosts and answers, in terms of no protocol. Mostly
 * immutable values; the one object with state is {@link mintstair.request.Exchange}, which belongs to the event loop.
 *
 * <p>Times are microseconds: points in time on the event loop's clock, in Unix time, spans as such.
 */
package mintstair.request;
