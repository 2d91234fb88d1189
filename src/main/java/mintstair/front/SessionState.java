package mintstair.front;

/**
 * The states of a client connection on the event loop. {@link #after} implements all transitions:
 *
 * <pre>
 * state        DRAIN     INPUT_ERROR  TERMINATE    LINGER     CLOSE
 * -----------  --------  -----------  -----------  ---------  ------
 * OPEN         DRAINING  FAILING      TERMINATING  -          CLOSED
 * DRAINING     -         FAILING      TERMINATING  LINGERING  CLOSED
 * FAILING      -         -            TERMINATING  LINGERING  CLOSED
 * TERMINATING  -         -            -            LINGERING  CLOSED
 * LINGERING    -         -            -            -          CLOSED
 * CLOSED       -         -            -            -          -
 * </pre>
 *
 * A dash means that the event does not change the state. The states differ in what the connection still does:
 *
 * <pre>
 * state        takes input  runs queued commands  sends responses  ends when
 * -----------  -----------  --------------------  ---------------  ------------------------------------------------
 * OPEN         yes          yes                   yes              an event changes its state
 * DRAINING     yes          yes                   yes              nothing is in flight and nothing is left to read
 * FAILING      no           yes                   yes              the last queued command is answered
 * TERMINATING  no           no                    yes              its final message is written
 * LINGERING    no           no                    no               the client closes, or a limit is reached
 * CLOSED       no           no                    no               -
 * </pre>
 *
 * Commands that are queued when the state becomes FAILING came before the error; what follows the error is discarded.
 */
enum SessionState {
    /** Commands are read and answered. */
    OPEN,
    /** As {@link #OPEN}, but the connection is closed as soon as it is idle. */
    DRAINING,
    /**
     * The input violates the protocol or ends in a message that was not completed in time; the complete commands before
     * the error are answered before it is reported.
     */
    FAILING,
    /** A request in flight is still answered, then the final message is sent, if there is one. */
    TERMINATING,
    /** The sending side is shut down, and further input is discarded up to a limit of time and bytes. */
    LINGERING,
    /** The connection is closed, or is being closed. */
    CLOSED;

    /** An event that may change the state of a connection. */
    enum Event {
        /** The connection is to be closed once it is idle. */
        DRAIN,
        /** The input cannot be parsed any further. */
        INPUT_ERROR,
        /** Further input is to be discarded, and the session ended. */
        TERMINATE,
        /** Everything has been sent; only the client's close is awaited. */
        LINGER,
        /** Either side has closed the connection. */
        CLOSE
    }

    /** Returns the state after the event, which may be the same state. */
    SessionState after(Event event) {
        return switch (event) {
            case DRAIN -> this == OPEN ? DRAINING : this;
            case INPUT_ERROR -> this == OPEN || this == DRAINING ? FAILING : this;
            case TERMINATE -> acceptsInput() ? TERMINATING : this;
            case LINGER -> this == OPEN || this == CLOSED ? this : LINGERING;
            case CLOSE -> CLOSED;
        };
    }

    /** Whether queued commands are run, and input is taken unless it had an error. */
    boolean acceptsInput() {
        return this == OPEN || this == DRAINING || this == FAILING;
    }
}
