package org.godwithoist.chat;

import java.util.Optional;
import org.godwithoist.core.id.RequestId;
import org.godwithoist.routing.Rendezvous;

/**
 * Name of one attempt of a request at an engine: {@code <request>.<hash>.<number>-<base>}. The hash
 * covers the workspace, so that equal request ids of two workspaces never meet at an engine. Any
 * daemon can recognise the attempts of a request and where their text begins.
 *
 * @param prefix part that all attempts of a request have in common
 * @param number number of the attempt, from 1
 * @param base pieces of the answer that came from earlier attempts
 */
record AttemptId(String prefix, int number, long base) {
    /** Longest part of the caller's request id; the hash covers all of it. */
    private static final int MAX_ID = 80;

    /**
     * Step of the number when another daemon takes a request over. The daemon before may still make
     * attempts of its own until it notices, and two attempts must not share an id.
     */
    private static final int TAKE_OVER_STEP = 100;

    static AttemptId first(ChatRequest request) {
        String id = request.id().value();
        long hash = Rendezvous.hash(request.workspace() + "\n" + id);
        String readable = id.substring(0, Math.min(MAX_ID, id.length()));
        return new AttemptId(readable + "." + String.format("%016x", hash), 1, 0);
    }

    AttemptId next(long newBase) {
        return new AttemptId(prefix, number + 1, newBase);
    }

    AttemptId nextAfterTakeOver() {
        return new AttemptId(prefix, number + TAKE_OVER_STEP, 0);
    }

    RequestId id() {
        return new RequestId(prefix + "." + number + "-" + base);
    }

    /** Reads an id if it belongs to the same request. */
    Optional<AttemptId> sameRequest(RequestId id) {
        if (!id.value().startsWith(prefix + ".")) {
            return Optional.empty();
        }
        String[] rest = id.value().substring(prefix.length() + 1).split("-", -1);
        try {
            return Optional.of(
                    new AttemptId(prefix, Integer.parseInt(rest[0]), Long.parseLong(rest[1])));
        } catch (NumberFormatException | ArrayIndexOutOfBoundsException e) {
            return Optional.empty();
        }
    }
}
