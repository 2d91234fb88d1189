package mintstair.decision;

/**
 * A reply of which the first part has arrived. Its attempt has ended for the request, which needs no other one; what
 * the host reports of itself follows with the end of the reply.
 *
 * @param startedAt when the first part arrived, in microseconds on the router's clock
 */
record StreamedReply(InFlightRequest request, int attempt, long startedAt) {
    Endpoint endpoint() {
        return request.endpointOf(attempt);
    }
}
