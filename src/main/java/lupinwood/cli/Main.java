package lupinwood.cli;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.ParameterException;
import java.util.Map;

/** Entry point of the jar. */
public final class Main {
    private static final String NAME = "lupinwood";
    private static final String SERVE = "serve";
    private static final int USAGE = 2;

    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    /** Runs one command line and returns its exit status. */
    static int run(String[] args) {
        // A node that starts needs no other command, and the parser would take its time to look
        // each through.
        Map<String, Command> commands =
                args.length > 0 && args[0].equals(SERVE)
                        ? Map.of(SERVE, new Serve())
                        : Map.of(
                                SERVE,
                                new Serve(),
                                "version",
                                new Version(),
                                "drill",
                                new SimulatorCommand(),
                                "config",
                                new ConfigCommand(),
                                "lab",
                                new ExperimentCommand(),
                                "fleet",
                                new FleetCommand(),
                                "lab-node",
                                new ExperimentNode());
        JCommander parser = JCommander.newBuilder().programName(NAME).build();
        Help help = new Help();
        parser.addObject(help);
        parser.addCommand("help", help);
        commands.forEach(parser::addCommand);
        try {
            parser.parse(args);
        } catch (ParameterException e) {
            // The library's own text for a word too many speaks of its classes.
            String said =
                    e.getMessage()
                            .replaceFirst(
                                    "^Was passed main parameter ('.*?').*", "unknown word $1");
            System.err.println(NAME + ": " + said + "; 'help' lists the commands");
            return USAGE;
        }
        String command = parser.getParsedCommand();
        if (help.requested || "help".equals(command)) {
            StringBuilder usage = new StringBuilder();
            parser.getUsageFormatter().usage(usage);
            System.out.print(usage);
            return 0;
        }
        if (command == null) {
            System.err.println(NAME + ": no command given; 'help' lists the commands");
            return USAGE;
        }
        return commands.get(command).run();
    }
}
