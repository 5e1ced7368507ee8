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
        void place(World w, Turn turn, SlotFleet slots) {
            List<Integer> order = new ArrayList<>(w.ranked(turn));
            order.sort(
                    Comparator.comparingInt((Integer i) -> -w.engines.get(i).cached(turn))
                            .thenComparingInt(i -> w.engines.get(i).load()));
            for (int i : order) {
                if (w.engines.get(i).load() + onTheWay(w, i) < w.bound(i)) {
                    w.send(turn, i, () -> next(w));
                    return;
                }
            }
            w.waiting.add(again -> place(w, turn, slots));
        }
    },
    /**
     * No coordination: the engine with the least load, the larger of its reported load and the
     * daemon's own requests in progress.
     */
    LEAST_LOAD {
        @Override
        void place(World w, Turn turn, SlotFleet slots) {
            send(w, turn, w.ranked(turn).stream().min(byKnownLoad(w, turn)).orElseThrow());
        }
    },
    /** No coordination: the less loaded of two randomly chosen engines. */
    TWO_CHOICES {
        @Override
        void place(World w, Turn turn, SlotFleet slots) {
            List<Integer> all = w.ranked(turn);
            int a = all.get(w.random.nextInt(all.size()));
            int b = all.get(w.random.nextInt(all.size()));
            send(w, turn, byKnownLoad(w, turn).compare(a, b) <= 0 ? a : b);
        }
    },
    /** No coordination: the first engine in the chat's rendezvous hash order. */
    RENDEZVOUS {
        @Override
        void place(World w, Turn turn, SlotFleet slots) {
            send(w, turn, w.ranked(turn).get(0));
        }
    },
    /**
     * No coordination: the first engine in rendezvous hash order with a load below 1.25 times the
     * mean reported load.
     */
    BOUNDED_HASH {
        @Override
        void place(World w, Turn turn, SlotFleet slots) {
            double sum = 0;
            List<Integer> ranked = w.ranked(turn);
            for (int i : ranked) {
                sum += w.reported[i];
            }
            double bound = Math.ceil(BOUNDED_FACTOR * (sum + 1) / ranked.size());
            for (int i : ranked) {
                if (knownLoad(w, turn, i) < bound) {
                    send(w, turn, i);
                    return;
                }
            }
            send(w, turn, w.ranked(turn).get(0));
        }
    },
    /** Each daemon has a fixed share of every engine's capacity. */
    FIXED_SHARE {
        @Override
        void place(World w, Turn turn, SlotFleet slots) {
            int share = Math.max(1, EngineModel.BATCH / w.daemons);
            for (int i : w.ranked(turn)) {
                if (w.sent[turn.daemon()][i] < share) {
                    w.send(turn, i, () -> next(w));
                    return;
                }
            }
            w.waiting.add(again -> place(w, turn, slots));
        }
    },
    /** One owner admits all requests; the other daemons forward theirs to it. */
    FORWARDING {
        @Override
        void place(World w, Turn turn, SlotFleet slots) {
            boolean remote = turn.daemon() != 0;
            if (remote) {
                w.controlBytes += FORWARD_BYTES;
                w.forwardedBytes += (long) turn.prompt() * BYTES_PER_TOKEN;
            }
            w.time.after(remote ? World.HOP : 0, () -> admit(w, turn));
        }

        private void admit(World w, Turn turn) {
            // Another daemon takes the lease over 8.5 s after the pause began and admits requests
            // once the paused owner has been unresponsive for 15 s.
            if (w.ownerPaused() && pausedFor(w) < TAKEOVER) {
                w.time.after(TAKEOVER - pausedFor(w), () -> admit(w, turn));
                return;
            }
            for (int i : w.ranked(turn)) {
                if (w.engines.get(i).load() + onTheWay(w, i) < w.bound(i)) {
                    w.send(turn, i, () -> next(w));
                    return;
                }
            }
            w.waiting.add(again -> admit(w, turn));
        }

        private long pausedFor(World w) {
            return w.time.now() - Faults.OWNER_PAUSED.from() * VirtualTime.SECOND;
        }
    },
    /** Granted slots; the router waits at most 10 ms for its first choice. */
    GRANTED_SHORT_WAIT {
        @Override
        void place(World w, Turn turn, SlotFleet slots) {
            slots.place(turn);
        }

        @Override
        Optional<SlotFleet> fleet(World w, double moveMsPerToken) {
            return Optional.of(new SlotFleet(w, moveMsPerToken, SHORT_WAIT));
        }
    },
    /** The owner grants slots in batches, and some daemons hold reserved slots. */
    GRANTED_SLOTS {
        @Override
        void place(World w, Turn turn, SlotFleet slots) {
            slots.place(turn);
        }

        @Override
        Optional<SlotFleet> fleet(World w, double moveMsPerToken) {
            return Optional.of(new SlotFleet(w, moveMsPerToken, Duration.ofHours(1)));
        }
    };

    /** Fixed wait for the first choice, used before design section 6 limited it to its benefit. */
    private static final Duration SHORT_WAIT = Duration.ofMillis(10);

    private static final double BOUNDED_FACTOR = 1.25;
    private static final long FORWARD_BYTES = 300;
    private static final long BYTES_PER_TOKEN = 4;
    private static final long TAKEOVER = 15 * VirtualTime.SECOND;

    /** Size of a {@code GET /v1/load} request and its response, headers included. */
    static final long LOAD_POLL_BYTES = 320;

    /**
     * Sends a turn to an engine, immediately or once capacity is free.
     *
     * @param slots daemons with slots; null if {@link #fleet} returned none
     */
    abstract void place(World w, Turn turn, SlotFleet slots);

    /**
     * Creates the daemons of an alternative with slots; empty for the others.
     *
     * @param moveMsPerToken time of a cache move for each token; negative if caches cannot be moved
     */
    Optional<SlotFleet> fleet(World w, double moveMsPerToken) {
        return Optional.empty();
    }

    /** Returns the number of daemons that poll the load of each engine. */
    int pollers(int daemons) {
        return switch (this) {
            case LEAST_LOAD, TWO_CHOICES, BOUNDED_HASH, GRANTED_SHORT_WAIT, GRANTED_SLOTS ->
                    daemons;
            case OMNISCIENT, RENDEZVOUS, FIXED_SHARE -> 0;
            case FORWARDING -> 1;
        };
    }

    private static void send(World w, Turn turn, int engine) {
        w.send(turn, engine, () -> {});
    }

    private static void next(World w) {
        var first = w.waiting.poll();
        if (first != null) {
            first.accept(true);
        }
    }

    private static int onTheWay(World w, int engine) {
        int sum = 0;
        for (int[] s : w.sent) {
            sum += s[engine];
        }
        return Math.max(0, sum - w.engines.get(engine).load());
    }

    private static int knownLoad(World w, Turn turn, int engine) {
        return Math.max(w.reported[engine], w.sent[turn.daemon()][engine]);
    }

    private static Comparator<Integer> byKnownLoad(World w, Turn turn) {
        return Comparator.comparingInt(i -> knownLoad(w, turn, i));
    }
}
