package mintstair.decision;

/** Settings that no router can work with; the message names the setting and what it must be. */
public final class InvalidSettingsException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidSettingsException(String message) {
        super(message);
    }
}
