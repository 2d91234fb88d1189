package mintstair.decision;

/** Thrown for settings with which no router can work; the message names the setting and its valid range. */
public final class InvalidSettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidSettingsException(String message) {
        super(message);
    }
}
