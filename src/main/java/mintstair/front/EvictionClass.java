package mintstair.front;

/** How much an idle client would lose by its eviction; in the order in which clients are evicted. */
enum EvictionClass {
    /** It has not sent a byte. */
    SILENT,
    /** It has sent something, such as a start-up message, but no request. */
    UNAUTHENTICATED,
    /** It has sent a request, and keeps its connection for the next. */
    ACTIVE
}
