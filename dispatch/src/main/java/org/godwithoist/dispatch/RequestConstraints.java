package org.godwithoist.dispatch;

import java.time.Duration;

/**
 * Limits of the memory and time that a daemon uses for one caller's connection. No client within
 * the operators' limits of requests reaches the defaults in calm. Immutable.
 */
public final class RequestConstraints {
    /** The limits of a daemon. */
    public static final RequestConstraints DEFAULT = builder().build();

    private final int maxHeaderFields;
    private final int maxEmptyLines;
    private final int freeHeadMemoryBytes;
    private final int headMemoryFactor;
    private final int headerFieldMemoryBytes;
    private final int promptPartMemoryBytes;
    private final int smallBodyBytes;
    private final int receiveBufferBytes;
    private final Duration maxBodyTime;
    private final int minBytesPerSecond;
    private final Duration maxReceiveStall;
    private final Duration maxSendStall;
    private final int sendBufferBytes;

    private RequestConstraints(Builder builder) {
        maxHeaderFields = builder.maxHeaderFields;
        maxEmptyLines = builder.maxEmptyLines;
        freeHeadMemoryBytes = builder.freeHeadMemoryBytes;
        headMemoryFactor = builder.headMemoryFactor;
        headerFieldMemoryBytes = builder.headerFieldMemoryBytes;
        promptPartMemoryBytes = builder.promptPartMemoryBytes;
        smallBodyBytes = builder.smallBodyBytes;
        receiveBufferBytes = builder.receiveBufferBytes;
        maxBodyTime = builder.maxBodyTime;
        minBytesPerSecond = builder.minBytesPerSecond;
        maxReceiveStall = builder.maxReceiveStall;
        maxSendStall = builder.maxSendStall;
        sendBufferBytes = builder.sendBufferBytes;
    }

    /** Returns a builder with the default limits. */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the maximum number of header fields of messages other than callers' requests, whose
     * heads are limited by their bytes.
     */
    public int maxHeaderFields() {
        return maxHeaderFields;
    }

    /** Returns the maximum number of empty lines before a message. */
    public int maxEmptyLines() {
        return maxEmptyLines;
    }

    /** Returns the memory of a head that is part of the memory of its connection, in bytes. */
    public int freeHeadMemoryBytes() {
        return freeHeadMemoryBytes;
    }

    /** Returns the memory that a head takes for each of its bytes while it is read, in bytes. */
    public int headMemoryFactor() {
        return headMemoryFactor;
    }

    /** Returns the memory of a header field besides its characters, in bytes. */
    public int headerFieldMemoryBytes() {
        return headerFieldMemoryBytes;
    }

    /** Returns the memory of a part of a prompt that a head names, in bytes. */
    public int promptPartMemoryBytes() {
        return promptPartMemoryBytes;
    }

    /** Returns the size up to which a body may use the memory that is kept for small ones. */
    public int smallBodyBytes() {
        return smallBodyBytes;
    }

    /** Returns the memory of the buffers of a connection while it receives a body, in bytes. */
    public int receiveBufferBytes() {
        return receiveBufferBytes;
    }

    /** Returns the longest time for a body, also if its caller waits for longer. */
    public Duration maxBodyTime() {
        return maxBodyTime;
    }

    /**
     * Returns how many bytes a caller has to send or read in a second to make progress, while
     * others need the room.
     */
    public int minBytesPerSecond() {
        return minBytesPerSecond;
    }

    /**
     * Returns the time without progress of a request after which its connection may be closed to
     * make room.
     */
    public Duration maxReceiveStall() {
        return maxReceiveStall;
    }

    /**
     * Returns the time for which a caller may read nothing of its response, after which its
     * connection may be closed to make room.
     */
    public Duration maxSendStall() {
        return maxSendStall;
    }

    /** Returns the size of the kernel's buffer for the responses to a caller, in bytes. */
    public int sendBufferBytes() {
        return sendBufferBytes;
    }

    /** Builds constraints. Not thread-safe. */
    public static final class Builder {
        private int maxHeaderFields = 200;
        private int maxEmptyLines = 10;

        /** A head of 700 bytes with 13 fields costs no reservation. */
        private int freeHeadMemoryBytes = 10_000;

        /** The parser keeps two bytes for a character, and doubles a buffer that is full. */
        private int headMemoryFactor = 4;

        /** Two objects, two strings and the initial buffer of a line, which holds 64 characters. */
        private int headerFieldMemoryBytes = 400;

        /** An id, its text and its places in the lists of the request and of the quarantine. */
        private int promptPartMemoryBytes = 160;

        private int smallBodyBytes = 131_072;

        /** The bytes that were read ahead, of which an idle connection holds none. */
        private int receiveBufferBytes = 8192;

        private Duration maxBodyTime = Duration.ofMinutes(2);
        private int minBytesPerSecond = 65_536;
        private Duration maxReceiveStall = Duration.ofSeconds(1);
        private Duration maxSendStall = Duration.ofSeconds(2);

        /** Without it, the kernel holds up to some megabytes for a caller that reads slowly. */
        private int sendBufferBytes = 131_072;

        private Builder() {}

        /** Sets the maximum number of header fields of messages other than callers' requests. */
        public Builder maxHeaderFields(int value) {
            maxHeaderFields = value;
            return this;
        }

        /** Sets the maximum number of empty lines before a message. */
        public Builder maxEmptyLines(int value) {
            maxEmptyLines = value;
            return this;
        }

        /** Sets the memory of a head that is part of the memory of its connection, in bytes. */
        public Builder freeHeadMemoryBytes(int value) {
            freeHeadMemoryBytes = value;
            return this;
        }

        /** Sets the memory that a head takes for each of its bytes, in bytes. */
        public Builder headMemoryFactor(int value) {
            headMemoryFactor = value;
            return this;
        }

        /** Sets the memory of a header field besides its characters, in bytes. */
        public Builder headerFieldMemoryBytes(int value) {
            headerFieldMemoryBytes = value;
            return this;
        }

        /** Sets the memory of a part of a prompt that a head names, in bytes. */
        public Builder promptPartMemoryBytes(int value) {
            promptPartMemoryBytes = value;
            return this;
        }

        /** Sets the size up to which a body may use the memory that is kept for small ones. */
        public Builder smallBodyBytes(int value) {
            smallBodyBytes = value;
            return this;
        }

        /** Sets the memory of the buffers of a connection while it receives a body, in bytes. */
        public Builder receiveBufferBytes(int value) {
            receiveBufferBytes = value;
            return this;
        }

        /** Sets the longest time for a body. */
        public Builder maxBodyTime(Duration value) {
            maxBodyTime = value;
            return this;
        }

        /** Sets how many bytes a caller has to send or read in a second to make progress. */
        public Builder minBytesPerSecond(int value) {
            minBytesPerSecond = value;
            return this;
        }

        /** Sets the time without progress after which a request may give way. */
        public Builder maxReceiveStall(Duration value) {
            maxReceiveStall = value;
            return this;
        }

        /** Sets the time without progress after which a response may give way. */
        public Builder maxSendStall(Duration value) {
            maxSendStall = value;
            return this;
        }

        /** Sets the size of the kernel's buffer for the responses to a caller, in bytes. */
        public Builder sendBufferBytes(int value) {
            sendBufferBytes = value;
            return this;
        }

        /** Returns the constraints. */
        public RequestConstraints build() {
            return new RequestConstraints(this);
        }
    }
}
