package org.godwithoist.loadtool.experiment;

/** The experiments on real processes. */
enum Experiment {
    /** A failure domain leaves and returns under steady load. */
    DEPARTURE(75) {
        @Override
        Table run(ExperimentContext context) {
            return new Departure(context).run();
        }
    },
    /** A daemon is compared with direct calls to the same engine. */
    LATENCY(30) {
        @Override
        Table run(ExperimentContext context) {
            return new Latency(context).run();
        }
    },
    /** One workspace sends ten times its load. */
    SURGE(75) {
        @Override
        Table run(ExperimentContext context) {
            return new Surge(context).run();
        }
    },
    /** One engine is replaced per minute. */
    CHURN(240) {
        @Override
        Table run(ExperimentContext context) {
            return new Churn(context).run();
        }
    };

    private final int seconds;

    Experiment(int seconds) {
        this.seconds = seconds;
    }

    /** Runs the experiment, checks its bounds and returns its table. */
    abstract Table run(ExperimentContext context);

    /** Returns the usual time for which the load runs, in seconds. */
    int seconds() {
        return seconds;
    }
}
