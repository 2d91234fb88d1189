package mintstair.traffic;

/** How request classes are named in tables. */
final class ClassLabels {
    private static final String NO_CLASS = "(none)";

    private ClassLabels() {}

    static String of(String requestClass) {
        return requestClass.isEmpty() ? NO_CLASS : requestClass;
    }
}
