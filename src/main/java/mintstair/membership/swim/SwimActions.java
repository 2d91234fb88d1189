package mintstair.membership.swim;

/** What the protocol asks its driver to do. Called on the protocol's thread, in the order in which it is to be done. */
public interface SwimActions {
    /**
     * Sends a message as a datagram, which may be lost.
     *
     * @param address the receiver, as host:port
     * @param message the message
     */
    void send(String address, Message message);

    /**
     * Opens a connection to a member that did not answer a datagram; the result goes to
     * {@link Swim#connectionChecked}.
     *
     * @param sequence number of the probe, to be handed back with the result
     * @param target name of the member
     * @param address its address, as host:port
     */
    void checkConnection(long sequence, String target, String address);

    /**
     * Reports that a member's state has changed.
     *
     * @param update the member with its new state
     * @param previous the state before; null for a member that was not known before
     */
    void memberChanged(GossipUpdate update, MemberState previous);
}
