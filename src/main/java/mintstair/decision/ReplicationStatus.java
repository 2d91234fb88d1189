package mintstair.decision;

import mintstair.request.ReplicationRole;

/** The replication status that a host reports of itself; {@code position} may be {@link Positions#UNKNOWN}. */
public record ReplicationStatus(long position, ReplicationRole role) {}
