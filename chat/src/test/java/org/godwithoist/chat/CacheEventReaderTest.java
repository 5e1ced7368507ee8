package org.godwithoist.chat;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Duration;
import java.util.Optional;
import org.godwithoist.chat.EngineClient.CacheEvent;
import org.godwithoist.core.id.ChatId;
import org.godwithoist.core.time.VirtualTicker;
import org.godwithoist.routing.PlacementChange;
import org.godwithoist.routing.PlacementDirectory;
import org.godwithoist.routing.TargetCostModel;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against cache events that do not reach the placements and the cost model. */
final class CacheEventReaderTest {
    private final VirtualTicker ticker = new VirtualTicker();
    private final Fleet fleet = new Fleet(1);
    private final PlacementDirectory placements = new PlacementDirectory(10, ticker);
    private final TargetCostModel costModel = new TargetCostModel(ticker, () -> 1);
    private final ChatId chat = new ChatId("antwerp/chat");
    private final CacheEventReader reader =
            new CacheEventReader(
                    fleet::bundle, fleet, fleet.engines, placements, costModel, t -> true);

    private long cachedAfter(CacheEvent event) {
        placements.report(
                chat,
                new PlacementChange(
                        PlacementChange.Kind.FINISHED, Fleet.id(1), 500, Optional.empty()));
        ticker.advance(Duration.ofSeconds(10));
        fleet.engines.cacheEvents.add(event);
        reader.poll();
        return costModel.cachedTokens(placements.lookup(chat).orElseThrow(), 100_000);
    }

    /** Guards against routing by cached tokens that the engine no longer holds. */
    @Nested
    final class Eviction {
        @Test
        void ofTheChatInvalidatesItsPlacement() {
            assertEquals(0, cachedAfter(new CacheEvent(1, false, chat, 500)));
        }

        @Test
        void isAssumedWhenMoreTokensAreStoredThanTheCacheHolds() {
            ChatId other = new ChatId("antwerp/other");
            assertEquals(500, cachedAfter(new CacheEvent(1, true, other, 50_000)));
            assertEquals(0, cachedAfter(new CacheEvent(2, true, other, 120_000)));
        }
    }
}
