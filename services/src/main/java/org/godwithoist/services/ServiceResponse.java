package org.godwithoist.services;

/** A response of a target whose body is still being received. Not thread-safe. */
public interface ServiceResponse extends AutoCloseable {
    /** Returns status and headers, without those of the connection. */
    ResponseHead head();

    /** Returns the body; reading it throws {@link ServiceException} if the target fails. */
    ByteStream body();

    /**
     * Returns whether the head states where the body ends, by a length or by chunks. Otherwise the
     * body ends with the connection.
     */
    boolean statesEnd();

    /** Discards the rest of the body. */
    @Override
    void close();
}
