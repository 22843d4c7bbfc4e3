package lupinwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.List;

/**
 * The command 'fleet'. Its work stands in a class of its own, so that other commands load nothing
 * of it.
 */
@Parameters(
        commandDescription =
                "Ask the fleet's council: status; leave NODE; halt; resume; forget NODE;"
                        + " release FILE, or release --program VERSION; back; wanted NODE; plan;"
                        + " rest SERVER; unrest SERVER. Exits with 0 when"
                        + " it is done, with 1 when nobody leads, with 2 when it can't be asked, with 3 when it may not be now")
final class FleetCommand implements Command {
    @Parameter(description = "WHAT [NODE]", required = true)
    private List<String> words = new ArrayList<>();

    @Parameter(
            names = "--operator",
            description = "The operator's file, which names the voters",
            required = true)
    private String operator;

    @Parameter(names = "--json", description = "Print for tools, as JSON")
    private boolean json;

    @Parameter(names = "--within", description = "How many seconds to wait for answers")
    private double within = 2;

    @Parameter(names = "--by", description = "Who gives the order, for the record")
    private String by = System.getProperty("user.name", "operator");

    @Parameter(
            names = "--order",
            description = "A name for the order: given again after a lost answer, it is done once")
    private String order = Long.toHexString(new SecureRandom().nextLong());

    @Parameter(
            names = "--program",
            description = "With release: the version of the program that nodes are started with")
    private String program;

    @Parameter(names = "--explain", description = "With plan: what concerns this zone only")
    private String explain;

    @Parameter(
            names = "--back-on-halt",
            description = "With release: go back by itself when the watch fails")
    private boolean rollsBackAutomatically;

    @Parameter(
            names = "--wait",
            description =
                    "With leave: ask until the node may go, and wait until it is gone; with"
                            + " release and back: print what happens until it has ended")
    private boolean waits;

    @Parameter(
            names = "--history",
            description = "With status: print what was done, by whom and when")
    private boolean history;

    @Override
    public int run() {
        return new FleetActions(operator, json, within, history)
                .run(
                        words,
                        new FleetActions.Invocation(
                                by, order, waits, program, rollsBackAutomatically, explain));
    }
}
