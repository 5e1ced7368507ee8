package org.godwithoist.loadtool.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Admission alternatives compared in design section 5.5. */
enum Alternative {
    /**
     * Baseline: one router with current knowledge of all loads and caches, which keeps the bounds.
     */
    OMNISCIENT {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            List<Integer> order = new ArrayList<>(sim.rankedEngines(turn));
            order.sort(
                    Comparator.comparingInt((Integer i) -> -sim.engines.get(i).cachedHistory(turn))
                            .thenComparingInt(i -> sim.engines.get(i).load()));
            for (int i : order) {
                if (sim.engines.get(i).load() + inTransit(sim, i) < sim.bound(i)) {
                    sim.send(turn, i, () -> admitNextWaiting(sim));
                    return;
                }
            }
            sim.waitingTurns.add(retry -> place(sim, turn, slots));
        }
    },
    /**
     * No coordination: the engine with the least load, the larger of its reported load and the
     * daemon's own requests in progress.
     */
    LEAST_LOAD {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            send(
                    sim,
                    turn,
                    sim.rankedEngines(turn).stream().min(byEstimatedLoad(sim, turn)).orElseThrow());
        }
    },
    /** No coordination: the less loaded of two randomly chosen engines. */
    TWO_CHOICES {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            List<Integer> all = sim.rankedEngines(turn);
            int a = all.get(sim.random.nextInt(all.size()));
            int b = all.get(sim.random.nextInt(all.size()));
            send(sim, turn, byEstimatedLoad(sim, turn).compare(a, b) <= 0 ? a : b);
        }
    },
    /** No coordination: the first engine in the chat's rendezvous hash order. */
    RENDEZVOUS {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            send(sim, turn, sim.rankedEngines(turn).get(0));
        }
    },
    /**
     * No coordination: the first engine in rendezvous hash order with a load below 1.25 times the
     * mean reported load.
     */
    BOUNDED_HASH {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            double sum = 0;
            List<Integer> rankedEngines = sim.rankedEngines(turn);
            for (int i : rankedEngines) {
                sum += sim.reportedLoads[i];
            }
            double bound = Math.ceil(BOUNDED_HASH_FACTOR * (sum + 1) / rankedEngines.size());
            for (int i : rankedEngines) {
                if (estimatedLoad(sim, turn, i) < bound) {
                    send(sim, turn, i);
                    return;
                }
            }
            send(sim, turn, sim.rankedEngines(turn).get(0));
        }
    },
    /** Each daemon has a fixed share of every engine's capacity. */
    FIXED_SHARE {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            int share = Math.max(1, EngineModel.BATCH_SIZE / sim.daemons);
            for (int i : sim.rankedEngines(turn)) {
                if (sim.inFlight[turn.daemon()][i] < share) {
                    sim.send(turn, i, () -> admitNextWaiting(sim));
                    return;
                }
            }
            sim.waitingTurns.add(retry -> place(sim, turn, slots));
        }
    },
    /** One owner admits all requests; the other daemons forward theirs to it. */
    FORWARDING {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            boolean remote = turn.daemon() != 0;
            if (remote) {
                sim.controlBytes += FORWARD_OVERHEAD_BYTES;
                sim.forwardedBytes += (long) turn.promptTokens() * BYTES_PER_TOKEN;
            }
            sim.time.schedule(remote ? Simulation.HOP_NANOS : 0, () -> admit(sim, turn));
        }

        private void admit(Simulation sim, Turn turn) {
            // Another daemon acquires the lease 8.5 s after the pause began, but admits no request
            // until the paused owner has been unresponsive for 15 s.
            if (sim.ownerPaused() && pausedNanos(sim) < TAKEOVER_NANOS) {
                sim.time.schedule(TAKEOVER_NANOS - pausedNanos(sim), () -> admit(sim, turn));
                return;
            }
            for (int i : sim.rankedEngines(turn)) {
                if (sim.engines.get(i).load() + inTransit(sim, i) < sim.bound(i)) {
                    sim.send(turn, i, () -> admitNextWaiting(sim));
                    return;
                }
            }
            sim.waitingTurns.add(retry -> admit(sim, turn));
        }

        private long pausedNanos(Simulation sim) {
            return sim.time.now()
                    - InjectedFault.OWNER_PAUSED.fromSecond() * EventScheduler.NANOS_PER_SECOND;
        }
    },
    /** Granted slots; the router waits at most 10 ms for its first choice. */
    GRANTED_SHORT_WAIT {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            slots.place(turn);
        }

        @Override
        Optional<SlotFleet> createFleet(Simulation sim, double moveMsPerToken) {
            return Optional.of(new SlotFleet(sim, moveMsPerToken, FIXED_MAX_WAIT));
        }
    },
    /** The owner grants slots in batches, and some daemons hold reserved slots. */
    GRANTED_SLOTS {
        @Override
        void place(Simulation sim, Turn turn, SlotFleet slots) {
            slots.place(turn);
        }

        @Override
        Optional<SlotFleet> createFleet(Simulation sim, double moveMsPerToken) {
            return Optional.of(new SlotFleet(sim, moveMsPerToken, Duration.ofHours(1)));
        }
    };

    /**
     * Fixed maximum wait for the first choice. Design section 6 has since limited the wait to the
     * time that the first choice is expected to save.
     */
    private static final Duration FIXED_MAX_WAIT = Duration.ofMillis(10);

    private static final double BOUNDED_HASH_FACTOR = 1.25;
    private static final long FORWARD_OVERHEAD_BYTES = 300;
    private static final long BYTES_PER_TOKEN = 4;
    private static final long TAKEOVER_NANOS = 15 * EventScheduler.NANOS_PER_SECOND;

    /** Size of a {@code GET /v1/load} request and its response, headers included. */
    static final long LOAD_POLL_BYTES = 320;

    /**
     * Sends a turn to an engine, immediately or as soon as an engine has capacity for it.
     *
     * @param slots daemons with slots; null if {@link #createFleet} returned none
     */
    abstract void place(Simulation sim, Turn turn, SlotFleet slots);

    /**
     * Creates the daemons of an alternative with slots; empty for the others.
     *
     * @param moveMsPerToken time of a cache move for each token; negative if caches cannot be moved
     */
    Optional<SlotFleet> createFleet(Simulation sim, double moveMsPerToken) {
        return Optional.empty();
    }

    /** Returns the number of daemons that poll the load of each engine. */
    int loadPollers(int daemons) {
        return switch (this) {
            case LEAST_LOAD, TWO_CHOICES, BOUNDED_HASH, GRANTED_SHORT_WAIT, GRANTED_SLOTS ->
                    daemons;
            case OMNISCIENT, RENDEZVOUS, FIXED_SHARE -> 0;
            case FORWARDING -> 1;
        };
    }

    private static void send(Simulation sim, Turn turn, int engine) {
        sim.send(turn, engine, () -> {});
    }

    private static void admitNextWaiting(Simulation sim) {
        var first = sim.waitingTurns.poll();
        if (first != null) {
            first.accept(true);
        }
    }

    private static int inTransit(Simulation sim, int engine) {
        int sum = 0;
        for (int[] ofDaemon : sim.inFlight) {
            sum += ofDaemon[engine];
        }
        return Math.max(0, sum - sim.engines.get(engine).load());
    }

    private static int estimatedLoad(Simulation sim, Turn turn, int engine) {
        return Math.max(sim.reportedLoads[engine], sim.inFlight[turn.daemon()][engine]);
    }

    private static Comparator<Integer> byEstimatedLoad(Simulation sim, Turn turn) {
        return Comparator.comparingInt(i -> estimatedLoad(sim, turn, i));
    }
}
