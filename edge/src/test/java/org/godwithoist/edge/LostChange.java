package org.godwithoist.edge;

import org.godwithoist.core.id.FailureDomainId;
import org.godwithoist.standins.edge.ConfigText;
import org.godwithoist.standins.edge.RowStoreStandin;

/** A kind of change that a restored store has lost, and the next change of this kind. */
enum LostChange {
    CONFIGURATION {
        @Override
        void make(RowStoreStandin store) {
            store.put("op", "config", ConfigText.of(2, 5000));
        }

        @Override
        boolean isInForce(StoreReader reader) {
            return reader.configurationVersion() >= 2;
        }

        @Override
        void makeNext(RowStoreStandin store) {
            store.put("op", "config", ConfigText.of(3, 5000));
        }

        @Override
        boolean isNextInForce(StoreReader reader) {
            return reader.configurationVersion() == 3;
        }
    },
    EVACUATION {
        @Override
        void make(RowStoreStandin store) {
            store.put("op", "evacuate/zone-a", "{}");
        }

        @Override
        boolean isInForce(StoreReader reader) {
            return reader.outOfService().contains(new FailureDomainId("zone-a"));
        }

        @Override
        void makeNext(RowStoreStandin store) {
            store.put("op", "evacuate/zone-b", "{}");
        }

        @Override
        boolean isNextInForce(StoreReader reader) {
            return reader.outOfService().contains(new FailureDomainId("zone-b"));
        }
    },
    TARGET_ADDED {
        @Override
        void make(RowStoreStandin store) {
            putTarget(store, "fifth", "ready");
        }

        @Override
        boolean isInForce(StoreReader reader) {
            return reader.keeps("fifth");
        }

        @Override
        void makeNext(RowStoreStandin store) {
            putTarget(store, "sixth", "ready");
        }

        @Override
        boolean isNextInForce(StoreReader reader) {
            return reader.uses("sixth");
        }
    },
    TARGET_LEFT {
        @Override
        void make(RowStoreStandin store) {
            store.delete("servers", "first");
        }

        @Override
        boolean isInForce(StoreReader reader) {
            return !reader.uses("first");
        }

        @Override
        void makeNext(RowStoreStandin store) {
            store.delete("servers", "third");
        }

        @Override
        boolean isNextInForce(StoreReader reader) {
            return !reader.uses("third");
        }
    },
    TARGET_DRAINING {
        @Override
        void make(RowStoreStandin store) {
            putTarget(store, "second", "draining");
        }

        @Override
        boolean isInForce(StoreReader reader) {
            return !reader.uses("second");
        }

        @Override
        void makeNext(RowStoreStandin store) {
            putTarget(store, "fourth", "draining");
        }

        @Override
        boolean isNextInForce(StoreReader reader) {
            return !reader.uses("fourth");
        }
    };

    static void writeInitialRows(RowStoreStandin store) {
        store.put("op", "config", ConfigText.of(1, 5000));
        for (String id : new String[] {"first", "second", "third", "fourth"}) {
            putTarget(store, id, "ready");
        }
    }

    private static void putTarget(RowStoreStandin store, String id, String state) {
        store.put(
                "servers",
                id,
                "{\"service\":\"desk\",\"address\":\"127.0.0.1:9\",\"zone\":\"zone-a\","
                        + "\"slots\":8,\"coldRemainingMs\":0,\"sequence\":1,\"born\":77,\"state\":\""
                        + state
                        + "\"}");
    }

    /** Makes the change, for the first time or again after the restore. */
    abstract void make(RowStoreStandin store);

    abstract boolean isInForce(StoreReader reader);

    /** Makes a change of this kind that the store did not have before the restore. */
    abstract void makeNext(RowStoreStandin store);

    abstract boolean isNextInForce(StoreReader reader);
}
