package mintstair.config;

/** Shortens text from outside the program to its first line, as each error message is printed as one line. */
public final class FirstLine {
    private FirstLine() {}

    /** Returns the text before the first line break, or the whole text if there is none; "null" for null. */
    public static String of(String text) {
        String lines = String.valueOf(text);
        int end = lines.indexOf('\n');
        return end < 0 ? lines : lines.substring(0, end);
    }

    /** Returns the first line of the message of a throwable. */
    public static String of(Throwable failure) {
        return of(failure.getMessage());
    }
}
