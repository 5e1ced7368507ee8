package org.godwithoist.standins.edge;

import java.time.Duration;
import java.util.List;
import java.util.Locale;

/**
 * How a {@link ScriptedRunner} responds to one request, and what it sends behind the response. The
 * path of the request names it, so that one runner plays all combinations.
 *
 * @param framing how the end of the response is stated
 * @param cut where the response breaks off
 * @param copy what follows the response on its connection
 * @param moment when it follows
 * @param status status of the response
 * @param size size of the whole body
 */
public record ScriptedResponse(
        Framing framing, Cut cut, Copy copy, Moment moment, int status, Size size) {
    private static final String SEPARATOR = ".";

    /** Smaller than each body, so that cut ones have equal sizes. */
    private static final int FIXED_BYTES = 64;

    /** How large a whole body is. */
    public enum Size {
        /** Less than a KB. */
        SHORT(0),
        /** More than a daemon buffers. */
        LONG(200_000),
        /** Less than a KB, and the same in all runs. */
        FIXED(0);

        final int addedBytes;

        Size(int addedBytes) {
            this.addedBytes = addedBytes;
        }
    }

    /** Creates a response with a short body. */
    public ScriptedResponse(Framing framing, Cut cut, Copy copy, Moment moment, int status) {
        this(framing, cut, copy, moment, status, Size.SHORT);
    }

    /** How the end of a body is stated. */
    public enum Framing {
        /** The length is stated in the head. */
        LENGTH,
        /** The last chunk states the end. */
        CHUNKS,
        /** The body ends with its connection. */
        CONNECTION
    }

    /** Where a response breaks off. */
    public enum Cut {
        /** It is whole. */
        NONE {
            @Override
            int length(int whole, int event, int run) {
                return whole;
            }
        },
        /** Nothing of the body is sent. */
        BEFORE_THE_BODY {
            @Override
            int length(int whole, int event, int run) {
                return 0;
            }
        },
        /** In the middle; in a stream, between two events. */
        IN_THE_MIDDLE {
            @Override
            int length(int whole, int event, int run) {
                return event > 0 ? event * (whole / event / 2) : whole / 2;
            }
        },
        /** Inside an event of a stream, and at about a third of another body. */
        INSIDE_AN_EVENT {
            @Override
            int length(int whole, int event, int run) {
                return event > 0 ? event * (whole / event / 2) + event / 2 : whole / 3;
            }
        },
        /** After two events of a stream, and after the same number of bytes of any other body. */
        AT_A_FIXED_SIZE {
            @Override
            int length(int whole, int event, int run) {
                return Math.min(whole, event > 0 ? 2 * event : FIXED_BYTES);
            }
        },
        /** Like in the middle in every other run of a runner, and whole in the others. */
        IN_EVERY_OTHER_RUN {
            @Override
            int length(int whole, int event, int run) {
                return run % 2 == 0 ? whole : IN_THE_MIDDLE.length(whole, event, run);
            }
        },
        /** Few bytes before the end, so that a copy's status line fills a stated length. */
        NEAR_THE_END {
            @Override
            int length(int whole, int event, int run) {
                return whole - 7;
            }
        };

        /**
         * Returns the number of bytes of the body that are sent.
         *
         * @param whole size of the whole body
         * @param event size of each of its events; 0 if it is no stream
         * @param run number of the run at its runner
         */
        abstract int length(int whole, int event, int run);
    }

    /** What follows a response. */
    public enum Copy {
        /** Nothing. */
        NONE(Framing.LENGTH, true, false),
        /** The response once more, with a length. */
        WITH_LENGTH(Framing.LENGTH, true, false),
        /** The response once more, in chunks. */
        IN_CHUNKS(Framing.CHUNKS, true, false),
        /** The response once more, which ends with its connection. */
        UNTIL_CLOSE(Framing.CONNECTION, true, false),
        /** The response once more, with a length and without an id and a signature. */
        WITHOUT_ID(Framing.LENGTH, false, false),
        /** The first half of a copy with a length. */
        HALF_WITH_LENGTH(Framing.LENGTH, true, true),
        /** The first half of a copy in chunks. */
        HALF_IN_CHUNKS(Framing.CHUNKS, true, true),
        /** The first nine bytes of a copy, {@code HTTP/1.1 } with the space. */
        NINE_BYTES_OF_HEAD(Framing.LENGTH, true, true),
        /** The first 20 bytes of a copy, which end in the status line. */
        TWENTY_BYTES_OF_HEAD(Framing.LENGTH, true, true),
        /** The response to the request before on the connection, and then the missing rest. */
        OF_EARLIER_REQUEST(Framing.LENGTH, true, false),
        /** Bytes that are no part of a response, more than a daemon buffers. */
        JUNK(Framing.CONNECTION, false, false),
        /** A reset of the connection. */
        RESET(Framing.CONNECTION, false, false),
        /** The whole body once more, inside the framing of the response. */
        BODY_INSIDE_FRAMING(Framing.CHUNKS, false, false),
        /** Bytes that are no part of the body, inside the framing of the response. */
        JUNK_INSIDE_FRAMING(Framing.CHUNKS, false, false),
        /** The rest of the response, so that it is whole. */
        REST(Framing.LENGTH, false, false),
        /** The rest of the response in pieces, with a pause before each of them. */
        REST_IN_PIECES(Framing.LENGTH, false, false);

        final Framing framing;
        final boolean hasId;

        /** Whether the copy breaks off. */
        final boolean isCut;

        Copy(Framing framing, boolean hasId, boolean isCut) {
            this.framing = framing;
            this.hasId = hasId;
            this.isCut = isCut;
        }

        /** Returns the bytes of the copy's head that are sent, if it breaks off there; else 0. */
        int headBytes() {
            return switch (this) {
                case NINE_BYTES_OF_HEAD -> 9;
                case TWENTY_BYTES_OF_HEAD -> 20;
                default -> 0;
            };
        }
    }

    /** When a copy follows. */
    public enum Moment {
        /** With the last byte of the response. */
        AT_ONCE(Duration.ZERO),
        /** A few milliseconds later. */
        SOON(Duration.ofMillis(5)),
        /** Tens of milliseconds later. */
        LATER(Duration.ofMillis(60)),
        /** When a caller in a hurry has given up. */
        LATE(Duration.ofMillis(400)),
        /** After the longest time for which a sound runner sends nothing. */
        AFTER_A_PAUSE(Duration.ofMillis(1300));

        /** The moments at which a copy follows. */
        public static final List<Moment> OF_COPIES = List.of(AT_ONCE, SOON, LATER, LATE);

        final Duration delay;

        Moment(Duration delay) {
            this.delay = delay;
        }
    }

    /** Returns the last part of a path that makes a runner respond like this. */
    public String path() {
        return String.join(
                SEPARATOR,
                framing.name(),
                cut.name(),
                copy.name(),
                moment.name(),
                Integer.toString(status),
                size.name());
    }

    /** Returns the response that a path names. */
    static ScriptedResponse ofPath(String path) {
        String[] names =
                path.substring(path.lastIndexOf('/') + 1).toUpperCase(Locale.ROOT).split("\\.", -1);
        return new ScriptedResponse(
                Framing.valueOf(names[0]),
                Cut.valueOf(names[1]),
                Copy.valueOf(names[2]),
                Moment.valueOf(names[3]),
                Integer.parseInt(names[4]),
                Size.valueOf(names[5]));
    }

    /** Returns the whole response with a length and nothing behind it. */
    ScriptedResponse sound() {
        return new ScriptedResponse(
                Framing.LENGTH, Cut.NONE, Copy.NONE, Moment.AT_ONCE, status, size);
    }

    /** Returns whether the connection can carry another request afterwards. */
    boolean connectionStaysOpen() {
        return framing != Framing.CONNECTION && cut == Cut.NONE && copy == Copy.NONE;
    }
}
