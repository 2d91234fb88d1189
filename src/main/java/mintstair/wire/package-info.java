/**
 * What fronts and backends share of the network: framing of byte streams into messages, the messages of the two
 * protocols, and what Grizzly needs beside it (bounded reads, a pause after a failed accept, capture of traffic).
 * Nothing here knows of requests or hosts.
 */
package mintstair.wire;
