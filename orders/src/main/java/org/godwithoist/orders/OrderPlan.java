package org.godwithoist.orders;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.godwithoist.bundle.Bundle;
import org.godwithoist.bundle.Model;
import org.godwithoist.core.id.PoolId;

/** Computes the orders that bring the engines of a pool to the state that the bundle requires. */
public final class OrderPlan {
    private OrderPlan() {}

    /**
     * Returns the outstanding orders: engines sorted by id, and each model before its adapters. The
     * sequence is the same at every daemon, so that a new lease holder continues where its
     * predecessor stopped.
     */
    public static List<EngineOrder> missing(Bundle bundle, PoolId pool, List<EngineState> engines) {
        List<Model> models =
                bundle.models().values().stream()
                        .filter(m -> m.pool().equals(pool))
                        .sorted(Comparator.comparing(Model::id))
                        .toList();
        List<EngineOrder> orders = new ArrayList<>();
        engines.stream()
                .sorted(Comparator.comparing(EngineState::target))
                .forEach(e -> models.forEach(m -> addMissing(e, m, orders)));
        return orders;
    }

    private static void addMissing(EngineState engine, Model model, List<EngineOrder> orders) {
        if (!model.version().equals(engine.models().get(model.id()))) {
            orders.add(
                    new EngineOrder(
                            EngineOrder.Kind.LOAD_MODEL,
                            engine.target(),
                            model.id(),
                            model.id().value(),
                            model.version()));
        }
        for (String adapter : model.adapters()) {
            if (!engine.adapters().contains(adapter)) {
                orders.add(
                        new EngineOrder(
                                EngineOrder.Kind.LOAD_ADAPTER,
                                engine.target(),
                                model.id(),
                                adapter,
                                model.version()));
            }
        }
    }
}
