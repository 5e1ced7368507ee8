package org.godwithoist.loadtool.experiment;

/** Experiments with real processes. */
enum Experiment {
    /** A failure domain goes out of service and back in service under steady load. */
    DEPARTURE(75) {
        @Override
        Table run(ExperimentContext context) {
            return new DomainOutExperiment(context).run();
        }
    },
    /** Requests through a daemon are compared with direct requests to the same engine. */
    LATENCY(30) {
        @Override
        Table run(ExperimentContext context) {
            return new LatencyExperiment(context).run();
        }
    },
    /** One workspace sends ten times its load. */
    SURGE(75) {
        @Override
        Table run(ExperimentContext context) {
            return new SurgeExperiment(context).run();
        }
    },
    /** One engine is replaced every minute. */
    CHURN(240) {
        @Override
        Table run(ExperimentContext context) {
            return new ChurnExperiment(context).run();
        }
    };

    private final int seconds;

    Experiment(int seconds) {
        this.seconds = seconds;
    }

    /** Runs the experiment, checks its bounds and returns its table. */
    abstract Table run(ExperimentContext context);

    /** Returns the default duration of the load, in seconds. */
    int seconds() {
        return seconds;
    }
}
