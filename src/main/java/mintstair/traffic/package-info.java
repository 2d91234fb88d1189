/**
 * Requests and responses as recordings hold them: reading them from captures, comparing two recordings, and
 * replaying one to a front. Which packets they came in is the concern of {@link mintstair.pcap}.
 *
 * <p>{@link mintstair.traffic.Recording} decodes captures into {@link mintstair.traffic.RecordedExchange}s. {@link
 * mintstair.traffic.ReplaySchedule} decides when each is sent again, {@link mintstair.traffic.Replayer} sends them,
 * and {@link mintstair.traffic.Comparison} shows what differs. {@link mintstair.traffic.TrafficCommand} offers this
 * on the command line.
 */
package mintstair.traffic;
