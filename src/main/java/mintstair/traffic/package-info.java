/**
 * Requests as recordings hold them: what was asked, when, on which connection, and what came of it. Which packets that took is
 * {@link mintstair.pcap}'s concern.
 */
package mintstair.traffic;
