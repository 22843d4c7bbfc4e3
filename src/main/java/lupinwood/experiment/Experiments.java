package lupinwood.experiment;

import java.io.PrintStream;
import lupinwood.log.Log;

/** The runs by their names. */
public final class Experiments {
    public static final String NAMES =
            "tour, reload-storm, config-cost, pools, mixed-fronts, duties-time, duties, duties-no-token, duties-late, duties-no-early-stop, duties-calm,"
                    + " fleet-cost, trials, fleet-tour, hand-overs, fleet-on-off, permits, release, releases-time, release-tour, release-ways, rest, failover-time, plan-model, failover,"
                    + " failover-alone, start-time, class-archive";

    private Experiments() {}

    /**
     * Null where there is none of that name.
     *
     * @param size how many steps, or nodes, it has where it has any; 0 for its usual number
     * @param plot a file to which it is drawn, where it can be; empty for none
     * @param seconds how long it takes where that can be chosen; 0 for as usual
     */
    public static Experiment named(
            String name, long seed, int size, int seconds, String plot, PrintStream out, Log log) {
        return switch (name) {
            case "tour" -> new QuickStart(seed, out, log);
            case "reload-storm" -> new ReloadStormExperiment(seed, size > 0 ? size : 300, log);
            case "config-cost" -> new ConfigCost(size > 0 ? size : 10_000);
            case "pools" -> new BalancingExperiment(seed);
            case "mixed-fronts" -> new MixedListenersExperiment(seed, size > 0 ? size : 400, log);
            case "duties-time" -> new SimulatedLeases(seed, size > 0 ? size : 200, out);
            case "duties" ->
                    new LeaseFaultsExperiment(
                            seed,
                            size > 0 ? size : 12,
                            seconds > 0 ? seconds : 60,
                            LeaseFaultsExperiment.Kind.USUAL,
                            log);
            case "duties-no-token" ->
                    new LeaseFaultsExperiment(
                            seed,
                            size > 0 ? size : 12,
                            seconds > 0 ? seconds : 60,
                            LeaseFaultsExperiment.Kind.NO_TOKEN,
                            log);
            case "duties-late" ->
                    new LeaseFaultsExperiment(
                            seed,
                            size > 0 ? size : 5,
                            seconds > 0 ? seconds : 40,
                            LeaseFaultsExperiment.Kind.LATE,
                            log);
            case "duties-no-early-stop" ->
                    new LeaseFaultsExperiment(
                            seed,
                            size > 0 ? size : 5,
                            seconds > 0 ? seconds : 40,
                            LeaseFaultsExperiment.Kind.NO_EARLY_STOP,
                            log);
            case "duties-calm" ->
                    new LeaseFaultsExperiment(
                            seed,
                            size > 0 ? size : 12,
                            seconds > 0 ? seconds : 1800,
                            LeaseFaultsExperiment.Kind.NO_FAULT,
                            log);
            case "fleet-cost" -> new ClusterCostExperiment(seed, size, seconds > 0 ? seconds : 60);
            case "trials" -> new HealthChecksExperiment(seed, size > 0 ? size : 12);
            case "fleet-tour" -> new ClusterWalkthrough(seed, out);
            case "hand-overs" -> new LeaseHandoverExperiment(seed, size > 0 ? size : 40);
            case "fleet-on-off" -> new ClusterOverheadExperiment(seed, seconds > 0 ? seconds : 30);
            case "release" ->
                    new RolloutExperiment(
                            seed,
                            size > 0 ? size : 12,
                            seconds > 0 ? Math.max(1, seconds / 60) : 4,
                            plot,
                            log);
            case "rest" -> new CordonExperiment(seed, size > 0 ? size : 4, log);
            case "release-tour" -> new RolloutWalkthrough(seed, out);
            case "release-ways" ->
                    new RolloutStrategiesExperiment(seed, size > 0 ? size : 300, plot);
            case "failover-time" -> new SimulatedFailover(seed, size > 0 ? size : 12);
            case "plan-model" -> new CapacityPlanModel();
            case "failover" ->
                    new FailoverExperiment(
                            seed,
                            size > 0 ? size : 12,
                            seconds > 0 ? Math.max(1, seconds / 21) : 6,
                            true,
                            log);
            case "failover-alone" ->
                    new FailoverExperiment(
                            seed,
                            size > 0 ? size : 12,
                            seconds > 0 ? Math.max(1, seconds / 21) : 6,
                            false,
                            log);
            case "start-time" -> new StartTimeExperiment(size > 0 ? size : 30, out);
            case "class-archive" -> StartTimeExperiment.archiving(out);
            case "releases-time" -> new SimulatedRollouts(seed, size > 0 ? size : 200, out);
            case "permits" ->
                    new DisruptionPermitsExperiment(seed, seconds > 0 ? seconds : 60, log);
            default -> null;
        };
    }
}
