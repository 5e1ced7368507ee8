package org.godwithoist.orders;

import java.util.Locale;
import org.godwithoist.core.id.ModelId;
import org.godwithoist.core.id.TargetId;

/**
 * Order to an engine to load a model or an adapter, or to change its role.
 *
 * @param kind requested action
 * @param target the engine
 * @param model model that the order applies to
 * @param name name of the adapter or role; the model's name for a model
 * @param version version to load; empty for a role
 */
public record EngineOrder(Kind kind, TargetId target, ModelId model, String name, String version) {
    /** Actions that an order can request. */
    public enum Kind {
        /** Load the weights of a model. */
        LOAD_MODEL(true),
        /** Load an adapter. */
        LOAD_ADAPTER(true),
        /** Change the role of the engine. */
        SET_ROLE(false);

        private final boolean readsWeights;

        Kind(boolean readsWeights) {
            this.readsWeights = readsWeights;
        }

        /**
         * Returns whether the engine reads from the weight store, which limits the rate of reads.
         */
        public boolean readsWeights() {
            return readsWeights;
        }

        /** Returns the name used in the engines' protocol. */
        public String wireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }
}
