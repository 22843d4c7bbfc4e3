package lupinwood.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** What asks for the usage text, as a command or as an option. */
@Parameters(commandDescription = "Print this text")
final class Help {
    @Parameter(
            names = {"--help", "-h"},
            description = "Print this text",
            help = true)
    boolean requested;
}
