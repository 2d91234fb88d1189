package mintstair.config;

/** The first line of a text from elsewhere, as each message to people is one line. */
public final class FirstLine {
    private FirstLine() {}

    /** What stands before the first line end; all of it where there is none, "null" for no text. */
    public static String of(String text) {
        String whole = String.valueOf(text);
        int end = whole.indexOf('\n');
        return end < 0 ? whole : whole.substring(0, end);
    }

    /** The first line of the failure's message. */
    public static String of(Throwable failure) {
        return of(failure.getMessage());
    }
}
