/**
 * The network code that fronts and backends share: framing of byte streams into messages, the messages of the two
 * protocols, and additions to Grizzly (back-pressure on reads, a pause after a failed accept, capture of traffic).
 * Classes of this package do not depend on requests or hosts.
 */
package mintstair.wire;
