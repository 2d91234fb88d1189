package mintstair.registry.view;

/**
 * How long a view waits, in microseconds: {@code call} for an answer, {@code silence} from one sign of life
 * to the request for the next, {@code patience} for that sign, {@code retry} and {@code retryMost} as the first and the longest span between attempts,
 * {@code lagRest} for which an endpoint that lags is passed over.
 */
public record Times(long call, long silence, long patience, long retry, long retryMost, long lagRest) {
    /** A break is noticed within 0.8 s and mended well within 2 s where another endpoint answers. */
    public static final Times USUAL = new Times(500_000, 400_000, 400_000, 150_000, 600_000, 400_000);
}
