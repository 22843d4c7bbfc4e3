package lupinwood.cli;

import java.io.FileDescriptor;
import java.io.FileInputStream;
import java.io.FileOutputStream;
import java.io.IOException;
import lupinwood.Brain;
import lupinwood.sim.Drill;
import lupinwood.sim.MalformedFrame;

/** Entry point of the jar. */
public final class Main {
    private static final String USAGE =
            """
            usage: java -jar lupinwood.jar COMMAND
              drill   play the decisions on the simulator's wire, on standard input and output
              help    print this text""";

    private Main() {}

    public static void main(String[] args) {
        System.exit(run(args));
    }

    private static int run(String[] args) {
        String command = args.length == 0 ? "" : args[0];
        if (command.equals("help") || command.equals("--help")) {
            System.out.println(USAGE);
            return 0;
        }
        if (!command.equals("drill")) {
            String what = command.isEmpty() ? "no command given" : "unknown command '" + command + "'";
            System.err.println("lupinwood: " + what + "; 'help' lists the commands");
            return 2;
        }
        if (args.length > 1) {
            System.err.println("lupinwood: drill takes no arguments, got '" + args[1] + "'");
            return 2;
        }
        try {
            new Drill(Brain::new)
                    .play(new FileInputStream(FileDescriptor.in), new FileOutputStream(FileDescriptor.out));
            return 0;
        } catch (MalformedFrame e) {
            System.err.println("lupinwood: malformed frame: " + e.getMessage());
            return 1;
        } catch (IOException e) {
            System.err.println("lupinwood: the wire broke: " + e.getMessage());
            return 1;
        }
    }
}
