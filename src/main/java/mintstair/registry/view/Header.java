package mintstair.registry.view;

/**
 * Who answered, and where its history stands: the registry's cluster id (0 where the wire has none), the revision that the
 * answering member has reached, and the term of its leader (0 where the wire has none).
 */
public record Header(long cluster, long revision, long term) {}
