package org.godwithoist.membership.wire;

import io.vertx.grpc.common.GrpcStatus;
import java.util.Locale;

/** Reason why a message of another process was dropped. */
public enum Rejection {
    /** Metadata is missing or cannot be parsed. */
    MALFORMED(GrpcStatus.INVALID_ARGUMENT),
    /** The sender uses another protocol version. */
    VERSION(GrpcStatus.FAILED_PRECONDITION),
    /** The key is unknown, or the signature does not match the message and its receiver. */
    SIGNATURE(GrpcStatus.UNAUTHENTICATED),
    /** The sequence number was used before or is older than the replay window. */
    REPLAY(GrpcStatus.UNAUTHENTICATED),
    /** The message is from an earlier incarnation of its sender. */
    OLD_SENDER(GrpcStatus.UNAUTHENTICATED),
    /** The message is for another incarnation of its receiver, or its sender knows none yet. */
    OLD_RECEIVER(GrpcStatus.ABORTED),
    /** The peer, or the process at its address, failed or does not have the method. */
    FAILED(GrpcStatus.INTERNAL);

    private final GrpcStatus status;

    Rejection(GrpcStatus status) {
        this.status = status;
    }

    /** Returns the gRPC status of the response. */
    GrpcStatus status() {
        return status;
    }

    /** Returns the name used in metrics and log lines. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
