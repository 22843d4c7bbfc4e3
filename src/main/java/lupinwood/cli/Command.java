package lupinwood.cli;

/** One sub-command; its options are filled in before it runs. */
interface Command {
    /** The exit status. */
    int run();
}
