package lupinwood.cli;

import com.beust.jcommander.Parameters;

/**
 * The command 'drill'. Its work stands in a class of its own, so that other commands load nothing
 * of it.
 */
@Parameters(
        commandDescription =
                "Play the decisions on the simulator's wire, on standard input and output")
final class SimulatorCommand implements Command {
    @Override
    public int run() {
        return new SimulatorMode().run();
    }
}
