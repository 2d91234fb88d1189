package mintstair.registry.etcd;

import com.google.protobuf.ByteString;
import io.grpc.Status;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import mintstair.config.FirstLine;
import mintstair.config.RegistryConfig;
import mintstair.registry.etcd.api.AuthenticateRequest;
import mintstair.registry.etcd.api.Event;
import mintstair.registry.etcd.api.KeyValue;
import mintstair.registry.etcd.api.RangeRequest;
import mintstair.registry.etcd.api.ResponseHeader;
import mintstair.registry.etcd.api.WatchCreateRequest;
import mintstair.registry.etcd.api.WatchProgressRequest;
import mintstair.registry.etcd.api.WatchRequest;
import mintstair.registry.etcd.api.WatchResponse;
import mintstair.registry.view.EntryChange;
import mintstair.registry.view.RegistryCall;
import mintstair.registry.view.RegistryEntry;
import mintstair.registry.view.RegistryEvent;
import mintstair.registry.view.RegistryEvent.Reason;
import mintstair.registry.view.RegistryPosition;

/** Converts between etcd's messages and the calls and events of a view. */
final class EtcdMessages {
    private EtcdMessages() {}

    /** Returns the bytes of a key; each character of the string stands for one byte. */
    static ByteString keyBytes(String key) {
        return ByteString.copyFrom(key, StandardCharsets.ISO_8859_1);
    }

    /**
     * Returns the first key after all keys with this prefix. The prefix must not be empty or end with the byte 0xFF.
     */
    static ByteString endOfPrefix(String prefix) {
        int last = prefix.length() - 1;
        return keyBytes(prefix.substring(0, last) + (char) (prefix.charAt(last) + 1));
    }

    static AuthenticateRequest authenticateRequest(RegistryConfig config) {
        return AuthenticateRequest.newBuilder()
                .setName(config.user())
                .setPassword(config.secret())
                .build();
    }

    static RangeRequest pageRequest(RegistryCall.Read read, String prefix) {
        return RangeRequest.newBuilder()
                .setKey(keyBytes(read.fromKey()))
                .setRangeEnd(endOfPrefix(prefix))
                .setLimit(read.limit())
                .setRevision(read.revision())
                .build();
    }

    /** Returns the cheapest linearizable read of the prefix; the header of its response has the quorum's position. */
    static RangeRequest positionRequest(String prefix) {
        return RangeRequest.newBuilder()
                .setKey(keyBytes(prefix))
                .setRangeEnd(endOfPrefix(prefix))
                .setLimit(1)
                .setKeysOnly(true)
                .build();
    }

    static WatchRequest watchRequest(RegistryCall.Watch watch, String prefix) {
        WatchCreateRequest.Builder create = WatchCreateRequest.newBuilder()
                .setKey(keyBytes(prefix))
                .setRangeEnd(endOfPrefix(prefix))
                .setStartRevision(watch.startRevision())
                .setFragment(true)
                .setProgressNotify(true);
        return WatchRequest.newBuilder().setCreateRequest(create).build();
    }

    static WatchRequest progressRequest() {
        return WatchRequest.newBuilder()
                .setProgressRequest(WatchProgressRequest.getDefaultInstance())
                .build();
    }

    static RegistryPosition position(ResponseHeader header) {
        return new RegistryPosition(header.getClusterId(), header.getRevision(), header.getRaftTerm());
    }

    static RegistryEntry entry(KeyValue keyValue) {
        return new RegistryEntry(
                keyValue.getKey().toString(StandardCharsets.ISO_8859_1),
                keyValue.getValue().toByteArray(),
                keyValue.getCreateRevision(),
                keyValue.getModRevision());
    }

    static List<EntryChange> changes(WatchResponse response) {
        List<EntryChange> changes = new ArrayList<>(response.getEventsCount());
        for (Event event : response.getEventsList()) {
            changes.add(new EntryChange(event.getType() == Event.EventType.DELETE, entry(event.getKv())));
        }
        return changes;
    }

    /** Returns the event for the cancellation of a watch by the server. */
    static RegistryEvent watchCancelled(long callId, WatchResponse response) {
        if (response.getCompactRevision() > 0) {
            return new RegistryEvent.Compacted(callId);
        }
        String reason = response.getCancelReason();
        if (reason.contains("no leader")) {
            return new RegistryEvent.CallFailed(callId, Reason.NO_LEADER, reason);
        }
        boolean denied = isAuthenticationFailure(response);
        return new RegistryEvent.CallFailed(callId, denied ? Reason.DENIED : Reason.CANCELLED, reason);
    }

    /** Returns whether the server cancelled a watch because it did not accept the token. */
    static boolean isAuthenticationFailure(WatchResponse response) {
        String reason = response.getCancelReason();
        return reason.contains("auth") || reason.contains("permission");
    }

    /** Returns whether a call failed because the token was not accepted, so that a new one is needed. */
    static boolean isAuthenticationFailure(Status status) {
        return status.getCode() == Status.Code.UNAUTHENTICATED;
    }

    /** Returns the event for the failure of a call. */
    static RegistryEvent failure(long callId, Status status) {
        String description = String.valueOf(status.getDescription());
        String lowerCase = description.toLowerCase(Locale.ROOT);
        if (status.getCode() == Status.Code.OUT_OF_RANGE && lowerCase.contains("compacted")) {
            return new RegistryEvent.Compacted(callId);
        }
        Reason reason = reasonOf(status.getCode(), lowerCase);
        String detail = status.getCode() + " " + FirstLine.of(description);
        return new RegistryEvent.CallFailed(callId, reason, detail);
    }

    private static Reason reasonOf(Status.Code code, String description) {
        return switch (code) {
            case OUT_OF_RANGE -> Reason.LAGS;
            case UNAVAILABLE -> isWithoutLeader(description) ? Reason.NO_LEADER : Reason.BROKEN;
            case UNAUTHENTICATED, PERMISSION_DENIED -> Reason.DENIED;
            case INVALID_ARGUMENT -> isWrongUser(description) ? Reason.DENIED : Reason.MALFORMED;
            case DEADLINE_EXCEEDED -> Reason.SILENT;
            case RESOURCE_EXHAUSTED, FAILED_PRECONDITION -> Reason.BUSY;
            case INTERNAL, UNIMPLEMENTED, DATA_LOSS -> Reason.MALFORMED;
            default -> Reason.BROKEN;
        };
    }

    private static boolean isWithoutLeader(String description) {
        return description.contains("no leader")
                || description.contains("request timed out")
                || description.contains("leader changed");
    }

    private static boolean isWrongUser(String description) {
        return description.contains("user name") || description.contains("authentication");
    }
}
