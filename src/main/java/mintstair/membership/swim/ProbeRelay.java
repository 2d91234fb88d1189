package mintstair.membership.swim;

import java.util.HashMap;
import java.util.Map;

/** Probes that this member makes on behalf of others (SWIM's ping-req), and the acks and nacks for them. */
final class ProbeRelay {
    /** Bound of the relayed probes in flight. Beyond it requests are ignored, and the requester gets no nack. */
    private static final int MAX_IN_FLIGHT = 1_024;

    /** A relayed probe: who asked, under which number, and when a nack is due. */
    private record RelayedProbe(String requesterAddress, long requesterSequence, long nackDueMicros) {}

    private final SwimSettings settings;
    private final MessageSender sender;
    private final Map<Long, RelayedProbe> inFlight = new HashMap<>();
    private long rejected;

    ProbeRelay(SwimSettings settings, MessageSender sender) {
        this.settings = settings;
        this.sender = sender;
    }

    /** Whether there is capacity for one more; a request that finds none is counted. */
    boolean admit() {
        if (inFlight.size() < MAX_IN_FLIGHT) {
            return true;
        }
        rejected++;
        return false;
    }

    /** Probes the requested target under a sequence number of this member. */
    void start(long nowMicros, long sequence, String requesterAddress, Message.PingRequest request) {
        long nackDueMicros = nowMicros + settings.ackTimeoutMicros();
        inFlight.put(sequence, new RelayedProbe(requesterAddress, request.sequence(), nackDueMicros));
        sender.send(request.address(), new Message.Ping(sequence, request.target()));
    }

    /** Passes an ack on to the requester; false if no relayed probe has this number. */
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

    /** Requests that were rejected because too many probes were in flight. */
    long rejected() {
        return rejected;
    }
}
