package mintstair.membership.swim;

/** The actions that the protocol requires of its driver. All methods are called on the protocol's thread. */
public interface SwimActions {
    /**
     * Sends a message as a datagram, which may be lost.
     *
     * @param address address of the receiver, as {@code host:port}
     * @param message the message
     */
    void send(String address, Message message);

    /**
     * Opens a connection to a member that did not answer a ping. The result must be passed to
     * {@link Swim#onConnectionChecked}, which may happen before this method returns.
     *
     * @param sequence sequence number of the probe, to be passed back with the result
     * @param target name of the member
     * @param address address of the member, as {@code host:port}
     */
    void checkConnection(long sequence, String target, String address);

    /**
     * Reports that a member's state has changed.
     *
     * @param update the member with its new state
     * @param previous the previous state; null for a member that was unknown before
     */
    void onMemberChanged(GossipUpdate update, MemberState previous);
}
