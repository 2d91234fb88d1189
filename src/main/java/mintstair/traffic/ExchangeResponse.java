package mintstair.traffic;

import mintstair.traffic.RecordedExchange.Result;

/**
 * The final response to a request; see {@link RecordedExchange} for its fields.
 *
 * @param timestampNanos when its last byte was seen, 0 for none
 */
record ExchangeResponse(long timestampNanos, Result result, long retryAfterMillis, long digest) {
    /** No response came. */
    static final ExchangeResponse NONE = new ExchangeResponse(0, Result.NONE, 0, 0);

    static ExchangeResponse served(long timestampNanos, long digest) {
        return new ExchangeResponse(timestampNanos, Result.SERVED, 0, digest);
    }

    static ExchangeResponse refused(long timestampNanos, long retryAfterMillis) {
        return new ExchangeResponse(timestampNanos, Result.REFUSED, retryAfterMillis, 0);
    }

    static ExchangeResponse failed(long timestampNanos) {
        return new ExchangeResponse(timestampNanos, Result.FAILED, 0, 0);
    }
}
