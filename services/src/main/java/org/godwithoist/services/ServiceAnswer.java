package org.godwithoist.services;

/** An answer of a target whose body is still arriving. */
public interface ServiceAnswer extends AutoCloseable {
    /** Returns status and headers. */
    AnswerHead head();

    /** Returns the body; reading it throws {@link ServiceException} if the target fails. */
    ByteStream body();

    /** Gives up the rest of the body. */
    @Override
    void close();
}
