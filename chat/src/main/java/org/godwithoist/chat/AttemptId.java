package org.godwithoist.chat;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Optional;
import org.godwithoist.core.id.RequestId;

/**
 * Id of one attempt of a request at an engine: {@code <request>.<hash>.<number>-<base>}. The hash
 * covers the workspace, so that equal request ids of two workspaces never collide at an engine. Any
 * daemon can recognise the attempts of a request and the offset at which their text begins.
 *
 * @param prefix part that all attempts of a request have in common
 * @param number number of the attempt, from 1; increases with each attempt of the request
 * @param baseOffset number of chunks of the response that earlier attempts delivered
 */
record AttemptId(String prefix, int number, long baseOffset) {
    /** Characters of the caller's request id that are included; the hash covers the complete id. */
    private static final int MAX_ID_LENGTH = 64;

    private static final int HASH_BYTES = 16;

    /**
     * Increment of the number when another daemon takes a request over. The previous daemon may
     * start further attempts until it notices, and two attempts must not share an id.
     */
    private static final int TAKE_OVER_INCREMENT = 100;

    static AttemptId first(ChatRequest request) {
        String id = request.id().value();
        String hash = hash(request.workspace() + "\n" + id);
        String readable = id.substring(0, Math.min(MAX_ID_LENGTH, id.length()));
        return new AttemptId(readable + "." + hash, 1, 0);
    }

    /**
     * Uses a cryptographic hash, so that no caller can choose an id that collides with another
     * workspace's.
     */
    private static String hash(String text) {
        try {
            byte[] all =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(all, 0, HASH_BYTES);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is not available", e);
        }
    }

    AttemptId next(long newBaseOffset) {
        return new AttemptId(prefix, number + 1, newBaseOffset);
    }

    AttemptId nextAfterTakeOver() {
        return new AttemptId(prefix, number + TAKE_OVER_INCREMENT, 0);
    }

    RequestId asRequestId() {
        return new RequestId(prefix + "." + number + "-" + baseOffset);
    }

    /** Parses an attempt id; empty if it belongs to another request. */
    Optional<AttemptId> parseIfSameRequest(RequestId id) {
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
