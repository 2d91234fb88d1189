package mintstair.membership.swim;

import java.util.HashMap;
import java.util.Map;

/** Relays probes on behalf of other members (SWIM's ping-req) and sends them the acks and nacks. */
final class ProbeRelay {
    /** Maximum number of relayed probes in flight; further requests are ignored, and the requester receives no nack. */
    private static final int MAX_IN_FLIGHT = 1_024;

    /** A relayed probe: the requester's address, its sequence number, and when a nack is due. */
    private record RelayedProbe(String requesterAddress, long requesterSequence, long nackDueMicros) {}

    private final SwimSettings settings;
    private final MessageSender sender;
    private final Map<Long, RelayedProbe> inFlight = new HashMap<>();
    private long rejectedRequests;

    ProbeRelay(SwimSettings settings, MessageSender sender) {
        this.settings = settings;
        this.sender = sender;
    }

    /** Returns whether another probe can be relayed; counts a rejected request otherwise. */
    boolean admit() {
        if (inFlight.size() < MAX_IN_FLIGHT) {
            return true;
        }
        rejectedRequests++;
        return false;
    }

    /** Probes the requested target with a sequence number of this member. */
    void start(long nowMicros, long sequence, String requesterAddress, Message.PingRequest request) {
        long nackDueMicros = nowMicros + settings.ackTimeoutMicros();
        inFlight.put(sequence, new RelayedProbe(requesterAddress, request.sequence(), nackDueMicros));
        sender.send(request.address(), new Message.Ping(sequence, request.target()));
    }

    /** Forwards an ack to the requester; returns false if no relayed probe has this sequence number. */
    boolean complete(long sequence) {
        RelayedProbe probe = inFlight.remove(sequence);
        if (probe == null) {
            return false;
        }
        sender.send(probe.requesterAddress, new Message.Ack(probe.requesterSequence));
        return true;
    }

    /** Sends nacks for probes that were not answered in time. */
    void expire(long nowMicros) {
        inFlight.values().removeIf(probe -> {
            boolean expired = nowMicros >= probe.nackDueMicros;
            if (expired) {
                sender.send(probe.requesterAddress, new Message.Nack(probe.requesterSequence));
            }
            return expired;
        });
    }

    void clear() {
        inFlight.clear();
    }

    /** Returns the number of requests that were rejected because too many probes were in flight. */
    long rejectedRequests() {
        return rejectedRequests;
    }
}
