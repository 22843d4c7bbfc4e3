package lupinwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.time.Instant;
import lupinwood.experiment.Experiment;
import lupinwood.experiment.Experiments;
import lupinwood.log.LibraryLogs;
import lupinwood.log.Log;

/** Runs the laboratory's experiments. */
@Parameters(
        commandDescription =
                "Run an experiment with stand-ins on loopback: "
                        + Experiments.NAMES
                        + ". The last line has its counts; exits with 1 where a rule broke")
final class ExperimentCommand implements Command {
    private static final int BROKEN = 1;
    private static final int USAGE = 2;

    @Parameter(description = "NAME", required = true)
    private String name;

    @Parameter(names = "--seed", description = "Where chance begins")
    private long seed = 1;

    @Parameter(
            names = "--size",
            description = "How many steps, or nodes, where it has any; 0 for its usual number")
    private int size;

    @Parameter(
            names = "--seconds",
            description = "How long, where that can be chosen; 0 for as usual")
    private int seconds;

    @Parameter(
            names = "--plot",
            description =
                    "A PNG file to which release and release-ways draw who ran what and who was out")
    private String plot = "";

    @Parameter(names = "--log", description = "Print the node's log too, on standard error")
    private boolean logs;

    @Override
    public int run() {
        // Without --log nobody drains it: it keeps a bounded number of lines and drops the rest.
        Log log =
                logs
                        ? Log.start()
                        : new Log(new PrintStream(new ByteArrayOutputStream()), Instant::now);
        LibraryLogs.sendTo(log);
        Experiment experiment = Experiments.named(name, seed, size, seconds, plot, System.out, log);
        if (experiment == null) {
            System.err.println(
                    "lupinwood: there is no experiment "
                            + name
                            + "; there is: "
                            + Experiments.NAMES);
            return USAGE;
        }
        try {
            Experiment.Outcome outcome = experiment.run();
            outcome.broken().stream()
                    .limit(20)
                    .forEach(rule -> System.out.println("broken: " + rule));
            System.out.println(outcome.line());
            return outcome.broken().isEmpty() ? 0 : BROKEN;
        } catch (Exception e) {
            System.out.println("broken: the experiment itself ended with " + e);
            return BROKEN;
        }
    }
}
