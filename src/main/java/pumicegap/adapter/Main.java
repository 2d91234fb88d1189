package pumicegap.adapter;

import java.io.IOException;

/** Starts the wire adapter: {@code java -jar pumicegap.jar adapter}. */
public final class Main {
    private Main() { }

    /** Reads batches from standard input until it ends; malformed input ends with one message and status 2. */
    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("adapter")) {
            System.err.println("pumicegap: usage: java -jar pumicegap.jar adapter");
            System.exit(2);
        }
        try {
            new Wire(System.in, System.out).run();
        } catch (WireException | IOException e) {
            System.err.println("pumicegap: " + firstLine(e));
            System.exit(2);
        } catch (IllegalArgumentException e) {
            System.err.println("pumicegap: settings: " + firstLine(e));
            System.exit(2);
        }
    }

    private static String firstLine(Exception e) {
        String text = String.valueOf(e.getMessage());
        int end = text.indexOf('\n');
        return end < 0 ? text : text.substring(0, end);
    }
}
