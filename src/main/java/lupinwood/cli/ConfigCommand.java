package lupinwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.util.ArrayList;
import java.util.List;

/**
 * The command 'config'. Its work stands in a class of its own, so that other commands load nothing
 * of it.
 */
@Parameters(
        commandDescription =
                "Work on configurations: check FILE..., format [--check] FILE..., diff OLD NEW,"
                        + " import FILE.json, show FILE, explain [NAME]")
final class ConfigCommand implements Command {
    @Parameter(description = "WHAT FILE...")
    private List<String> words = new ArrayList<>();

    @Parameter(names = "--json", description = "Print for tools, as JSON")
    private boolean json;

    @Parameter(
            names = "--check",
            description = "With format: change nothing, exit with 1 where something would change")
    private boolean checkOnly;

    @Parameter(
            names = "--operator",
            description = "With check: the files hold an operator's own entries only")
    private boolean operator;

    @Override
    public int run() {
        return new ConfigActions(json, checkOnly, operator).run(words);
    }
}
