package lupinwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/** The command 'fleet'. Its work stands in a class of its own, so that other commands load nothing of it. */
@Parameters(commandDescription = "Ask the fleet's council: status. Exits with 0 when somebody leads it, with 1 when nobody"
        + " does, with 2 when it can't be asked")
final class FleetCommand implements Command {
    @Parameter(description = "status", required = true)
    private List<String> words = new ArrayList<>();

    @Parameter(names = "--operator", description = "The operator's file, which names the voters", required = true)
    private String operator;

    @Parameter(names = "--json", description = "Print for tools, as JSON")
    private boolean json;

    @Parameter(names = "--within", description = "How many seconds to wait for answers")
    private double within = 2;

    @Override
    public int run() {
        return new FleetWork(operator, json, within).run(words);
    }
}
