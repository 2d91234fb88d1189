package mintstair.front;

/** The cost of evicting an idle client, in the order in which clients are evicted. */
enum EvictionClass {
    /** The client has sent no byte. */
    SILENT,
    /** The client has sent some input, such as a start-up message, but no request. */
    UNAUTHENTICATED,
    /** The client has sent a request, and keeps its connection for the next one. */
    ACTIVE
}
