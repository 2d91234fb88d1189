/**
 * Capture files: reading classic pcap and pcapng, IP and TCP reassembly, and writing recordings as rotated pcap
 * files.
 *
 * <p>Reading is a pipeline on the caller's thread: {@link mintstair.pcap.FrameStream} gives the frames of one or
 * several files, {@link mintstair.pcap.IpReassembler} the TCP segments in them, {@link
 * mintstair.pcap.TcpStreamReassembler} the bytes of one direction in order, and {@link
 * mintstair.pcap.TcpFlowReader} reports both directions of each connection. What can't be used is counted in {@link
 * mintstair.pcap.DropCounters}. Writing goes through {@link mintstair.pcap.TrafficLog}, which has a thread of its
 * own, or {@link mintstair.pcap.PcapWriter}.
 */
package mintstair.pcap;
