package org.godwithoist.store.feed;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.godwithoist.core.time.VirtualTicker;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

final class StoreErasTest {
    private final VirtualTicker ticker = new VirtualTicker();
    private final List<String> notifications = new ArrayList<>();
    private final StoreEras eras =
            new StoreEras(
                    new StoreEras.Observer() {
                        @Override
                        public void eraChanged(StoreEra previous, StoreEra next) {
                            notifications.add(previous + " to " + next);
                        }

                        @Override
                        public void oddEra(StoreEras.Oddity oddity, String detail) {
                            notifications.add(oddity.name());
                        }
                    },
                    ticker);

    private long accept(String stated) throws StaleEraException {
        return eras.accept(Optional.of(stated)).value();
    }

    @Nested
    final class Restores {
        /** Guards against a restore that is announced for each table or not at all. */
        @Test
        void eachNewEraIsAnnouncedOnce() throws StaleEraException {
            accept("1");
            accept("1");
            accept("2");
            accept("2");
            eras.acceptRelayed(new StoreEra(3));
            accept("3");
            assertEquals(List.of("-1 to 1", "1 to 2", "2 to 3"), notifications);
        }
    }

    @Nested
    final class StaleResponses {
        /** Guards against a late response of the store before the restore. */
        @Test
        void earlierEraIsRejected() throws StaleEraException {
            accept("2");
            assertThrows(StaleEraException.class, () -> accept("1"));
            assertThrows(StaleEraException.class, () -> eras.acceptRelayed(new StoreEra(1)));
            assertEquals(2, accept("2"));
        }

        /** Guards against two stores that answer by turns and are followed by turns. */
        @Test
        void earlierEraIsRejectedAsLongAsTheCurrentOneIsStated() throws StaleEraException {
            accept("2");
            for (int i = 0; i < 20; i++) {
                assertThrows(StaleEraException.class, () -> accept("1"));
                ticker.advance(Duration.ofSeconds(1));
                accept("2");
            }
            assertEquals(List.of("-1 to 2", "OLDER"), notifications);
        }

        /** Guards against a daemon that never follows its store again. */
        @Test
        void earlierEraIsAcceptedIfNoOtherIsStated() throws StaleEraException {
            accept("7");
            assertThrows(StaleEraException.class, () -> accept("3"));
            ticker.advance(StoreEras.MAX_STALE_TIME);
            assertThrows(StaleEraException.class, () -> eras.acceptRelayed(new StoreEra(3)));
            assertEquals(3, accept("3"));
        }
    }

    @Nested
    final class OddStatements {
        /** Guards against an odd statement that stops the daemon or fills its log. */
        @Test
        void countAsTheCurrentEraAndAreReportedOnce() throws StaleEraException {
            accept("4");
            for (String odd : List.of("", "x", "-2", "4.0", "99999999999999999999")) {
                assertEquals(4, accept(odd));
                assertEquals(new StoreEra(4), eras.accept(Optional.empty()));
            }
            assertEquals(List.of("-1 to 4", "MALFORMED", "MISSING"), notifications);
        }
    }
}
