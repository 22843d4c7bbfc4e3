package lupinwood.cli;

import com.beust.jcommander.Parameters;

/** Prints which build this is. */
@Parameters(commandDescription = "Print the version")
final class Version implements Command {
    @Override
    public int run() {
        String version = Version.class.getPackage().getImplementationVersion();
        System.out.println("lupinwood " + (version == null ? "unpackaged" : version));
        return 0;
    }
}
