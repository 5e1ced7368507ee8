package org.godwithoist.dispatch;

import java.util.Optional;

/**
 * What an attempt has read of the body of its response.
 *
 * @param end how the target announced that it would state the end
 * @param bytes number of bytes that were read
 * @param evidence what shows whether the body has reached its end; empty if it was not read to an
 *     end
 * @param known what the daemon knew of the route's other responses when the body ended
 */
public record ResponseBody(
        BodyEnd end, long bytes, Optional<EndEvidence> evidence, RouteResponses known) {}
