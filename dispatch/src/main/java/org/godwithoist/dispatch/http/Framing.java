package org.godwithoist.dispatch.http;

import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.ProtocolException;
import org.godwithoist.dispatch.BodyEnd;

/**
 * How the end of a message body is determined. A message that announces two ways, or an unknown
 * one, is rejected: two readers that disagree about the end of a message see different following
 * messages (request smuggling).
 *
 * @param kind how the end is determined
 * @param length length of the body in bytes if the kind is {@link Kind#LENGTH}, otherwise 0
 */
record Framing(Kind kind, long length) {
    /** Maximum number of digits of a Content-Length; more would exceed any limit of a body. */
    private static final int MAX_LENGTH_DIGITS = 15;

    enum Kind {
        /** There is no body. */
        NONE(BodyEnd.LENGTH),
        /** The body ends after the announced number of bytes. */
        LENGTH(BodyEnd.LENGTH),
        /** The body ends after the last chunk. */
        CHUNKED(BodyEnd.MARK),
        /** The body ends when the connection is closed. */
        UNTIL_CLOSE(BodyEnd.CONNECTION);

        private final BodyEnd bodyEnd;

        Kind(BodyEnd bodyEnd) {
            this.bodyEnd = bodyEnd;
        }

        /** Returns how the sender states the end of the body. */
        BodyEnd bodyEnd() {
            return bodyEnd;
        }
    }

    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /**
     * Returns the framing of a request.
     *
     * @throws ProtocolException if it is ambiguous or unknown
     */
    static Framing ofRequest(Header[] headers) throws ProtocolException {
        return of(headers, new Framing(Kind.NONE, 0));
    }

    /**
     * Returns the framing of a response.
     *
     * @throws ProtocolException if it is ambiguous or unknown
     */
    static Framing ofResponse(int status, String method, Header[] headers)
            throws ProtocolException {
        boolean empty = status == NO_CONTENT || status == NOT_MODIFIED || method.equals("HEAD");
        if (empty) {
            return new Framing(Kind.NONE, 0);
        }
        return of(headers, new Framing(Kind.UNTIL_CLOSE, 0));
    }

    private static Framing of(Header[] headers, Framing defaultFraming) throws ProtocolException {
        int codings = HeaderFields.count(headers, "Transfer-Encoding");
        int lengths = HeaderFields.count(headers, "Content-Length");
        if (codings + lengths > 1) {
            throw new ProtocolException(
                    "more than one Content-Length or Transfer-Encoding field; expected at most one");
        }
        if (codings == 1) {
            String coding = HeaderFields.value(headers, "Transfer-Encoding").trim();
            if (!coding.equalsIgnoreCase("chunked")) {
                throw new ProtocolException(
                        "transfer coding '" + coding + "' is not supported; expected 'chunked'");
            }
            return new Framing(Kind.CHUNKED, 0);
        }
        if (lengths == 1) {
            return new Framing(Kind.LENGTH, length(HeaderFields.value(headers, "Content-Length")));
        }
        return defaultFraming;
    }

    private static long length(String text) throws ProtocolException {
        if (!HeaderFields.isDigits(text, MAX_LENGTH_DIGITS)) {
            throw new ProtocolException(
                    "Content-Length '" + text + "' is invalid; expected 1 to 15 digits");
        }
        return Long.parseLong(text);
    }
}
