package mintstair.front;

/**
 * The states of a client connection, as the event loop sees it. {@link #after} is the whole of the transitions:
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
 * A dash leaves the state as it is. The states differ in what still happens on the connection:
 *
 * <pre>
 * state        takes input  runs queued commands  sends responses  ends when
 * -----------  -----------  --------------------  ---------------  ------------------------------------------------
 * OPEN         yes          yes                   yes              an event says so
 * DRAINING     yes          yes                   yes              nothing is in flight and nothing is left to read
 * FAILING      in flight    yes                   yes              the last queued command is answered
 * TERMINATING  no           no                    yes              its final message is written
 * LINGERING    no           no                    no               the client closes, or a limit is reached
 * CLOSED       no           no                    no               -
 * </pre>
 *
 * "In flight" is input that was read before the error and that the loop has not processed yet.
 */
enum SessionState {
    /** Commands are read and answered. */
    OPEN,
    /** As {@link #OPEN}, but the connection is closed as soon as it is idle. */
    DRAINING,
    /** The input broke the protocol; the whole commands before the error are answered before it is reported. */
    FAILING,
    /** A request in flight is still answered, then the final message is sent, if there is one. */
    TERMINATING,
    /** The sending side is shut down, and what the client still sends is discarded for a while. */
    LINGERING,
    /** The connection is closed, or a close is under way. */
    CLOSED;

    /** What changes the state of a connection. */
    enum Event {
        /** It is to end once it is idle. */
        DRAIN,
        /** Its input cannot be parsed any further. */
        INPUT_ERROR,
        /** Its input is of no interest any more. */
        TERMINATE,
        /** All was sent; only the client's end is waited for. */
        LINGER,
        /** It was closed by either side. */
        CLOSE
    }

    /** The state after the event; the same one where the event changes nothing. */
    SessionState after(Event event) {
        return switch (event) {
            case DRAIN -> this == OPEN ? DRAINING : this;
            case INPUT_ERROR -> this == OPEN || this == DRAINING ? FAILING : this;
            case TERMINATE -> acceptsInput() ? TERMINATING : this;
            case LINGER -> this == OPEN || this == CLOSED ? this : LINGERING;
            case CLOSE -> CLOSED;
        };
    }

    /** Whether input that reaches the loop is parsed, and queued commands are run. */
    boolean acceptsInput() {
        return this == OPEN || this == DRAINING || this == FAILING;
    }
}
