package mintstair.decision;

import mintstair.request.ReplicationRole;

/** A host's report on itself; {@code position} may be {@link Positions#UNKNOWN}. */
public record ReplicationStatus(long position, ReplicationRole role) {}
