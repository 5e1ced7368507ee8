package org.godwithoist.membership.wire;

import io.vertx.grpc.common.GrpcStatus;
import java.util.Locale;

/** Why a message of another process was dropped. */
public enum Rejection {
    /** Metadata is missing or cannot be read. */
    MALFORMED(GrpcStatus.INVALID_ARGUMENT),
    /** The sender speaks another protocol version. */
    VERSION(GrpcStatus.FAILED_PRECONDITION),
    /** The key is unknown, or the signature does not fit the message and its receiver. */
    SIGNATURE(GrpcStatus.UNAUTHENTICATED),
    /** The sequence number was used before or is too old. */
    REPLAY(GrpcStatus.UNAUTHENTICATED),
    /** The message belongs to an earlier run of its sender. */
    OLD_SENDER(GrpcStatus.UNAUTHENTICATED),
    /** The message was made for an earlier run of its receiver, or for none. */
    OLD_RECEIVER(GrpcStatus.ABORTED),
    /** The peer, or what answers at its address, failed or has no such method. */
    FAILED(GrpcStatus.INTERNAL);

    private final GrpcStatus status;

    Rejection(GrpcStatus status) {
        this.status = status;
    }

    /** Returns the status of the answer. */
    GrpcStatus status() {
        return status;
    }

    /** Returns the name used in metrics and log lines. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
