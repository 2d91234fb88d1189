import java.lang.reflect.InvocationTargetException;

/** Plays a case; what nobody expected ends with 2, as a case that could not run. */
final class Play {
    private Play() {}

    public static void main(String[] args) throws InterruptedException {
        try {
            Class.forName(args[0])
                    .getDeclaredMethod("main", String[].class)
                    .invoke(null, (Object) new String[] {args[1]});
        } catch (Throwable e) {
            Throwable cause = e instanceof InvocationTargetException && e.getCause() != null ? e.getCause() : e;
            System.out.println("NOT RUN " + cause);
            System.exit(2);
        }
    }
}
